package org.jackdawsaddle.internal.wire;

import com.google.protobuf.ByteString;
import java.util.List;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.internal.message.PeerMessage;
import org.jackdawsaddle.internal.message.PeerMessage.CancelJob;
import org.jackdawsaddle.internal.message.PeerMessage.ConfigurationPush;
import org.jackdawsaddle.internal.message.PeerMessage.Heartbeat;
import org.jackdawsaddle.internal.message.PeerMessage.JobAnswered;
import org.jackdawsaddle.internal.message.PeerMessage.JobMoved;
import org.jackdawsaddle.internal.message.PeerMessage.PeerHello;
import org.jackdawsaddle.internal.message.PeerMessage.QueryJob;
import org.jackdawsaddle.internal.message.PeerMessage.StatusAnswer;
import org.jackdawsaddle.internal.message.PeerMessage.StatusQuery;
import org.jackdawsaddle.internal.message.PeerMessage.SubmitJob;
import org.jackdawsaddle.internal.wire.proto.Wire;
import org.jackdawsaddle.internal.wire.proto.Wire.Envelope;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;
import org.jackdawsaddle.job.SubmissionId;
import org.jackdawsaddle.job.TaskRequest;

/** Encodes and decodes messages between entries, except those of a pool. */
final class PeerMessageCodec {
    // The values of JobAnswer.outcome on the wire.
    private static final int OUTCOME_COMPLETE = 0;
    private static final int OUTCOME_NOT_RUN = 1;
    private static final int OUTCOME_FAILED = 2;
    private static final int OUTCOME_PENDING = 3;

    private PeerMessageCodec() {}

    static void encode(PeerMessage message, Envelope.Builder envelope) {
        switch (message) {
            case PeerHello hello ->
                    envelope.getPeerHelloBuilder()
                            .setEntry(WireCodec.encode(hello.entry()))
                            .setRevision(hello.revision());
            case SubmitJob submit ->
                    envelope.getSubmitJobBuilder()
                            .setToken(submit.token())
                            .setRequest(encode(submit));
            case JobAnswered answered ->
                    envelope.getJobAnsweredBuilder()
                            .setToken(answered.token())
                            .setAnswer(encode(answered.answer()));
            case JobMoved moved -> envelope.getJobMovedBuilder().setToken(moved.token());
            case QueryJob query ->
                    envelope.getQueryJobBuilder()
                            .setToken(query.token())
                            .setIdHigh(query.id().high())
                            .setIdLow(query.id().low())
                            .setService(query.service());
            case CancelJob cancel ->
                    envelope.getCancelJobBuilder()
                            .setIdHigh(cancel.id().high())
                            .setIdLow(cancel.id().low())
                            .setService(cancel.service());
            case Heartbeat heartbeat ->
                    envelope.getHeartbeatBuilder().setRevision(heartbeat.revision());
            case ConfigurationPush push ->
                    envelope.getConfigurationPushBuilder()
                            .setRevision(push.revision())
                            .setHead(push.head());
            case StatusQuery query -> envelope.getStatusQueryBuilder().setToken(query.token());
            case StatusAnswer answer ->
                    envelope.getStatusAnswerBuilder()
                            .setToken(answer.token())
                            .setStatus(answer.status());
        }
    }

    static PeerMessage decode(Envelope envelope) {
        return switch (envelope.getBodyCase()) {
            case PEER_HELLO ->
                    new PeerHello(
                            WireCodec.decode(envelope.getPeerHello().getEntry()),
                            envelope.getPeerHello().getRevision());
            case SUBMIT_JOB -> decode(envelope.getSubmitJob());
            case JOB_ANSWERED ->
                    new JobAnswered(
                            envelope.getJobAnswered().getToken(),
                            decode(envelope.getJobAnswered().getAnswer()));
            case JOB_MOVED -> new JobMoved(envelope.getJobMoved().getToken());
            case QUERY_JOB -> {
                Wire.QueryJob query = envelope.getQueryJob();
                yield new QueryJob(
                        query.getToken(),
                        new SubmissionId(query.getIdHigh(), query.getIdLow()),
                        query.getService());
            }
            case CANCEL_JOB -> {
                Wire.CancelJob cancel = envelope.getCancelJob();
                yield new CancelJob(
                        new SubmissionId(cancel.getIdHigh(), cancel.getIdLow()),
                        cancel.getService());
            }
            case HEARTBEAT -> new Heartbeat(envelope.getHeartbeat().getRevision());
            case CONFIGURATION_PUSH ->
                    new ConfigurationPush(
                            envelope.getConfigurationPush().getRevision(),
                            envelope.getConfigurationPush().getHead());
            case STATUS_QUERY -> new StatusQuery(envelope.getStatusQuery().getToken());
            default ->
                    new StatusAnswer(
                            envelope.getStatusAnswer().getToken(),
                            envelope.getStatusAnswer().getStatus());
        };
    }

    private static Wire.JobRequest encode(SubmitJob submit) {
        JobRequest request = submit.request();
        Wire.JobRequest.Builder builder =
                Wire.JobRequest.newBuilder()
                        .setIdHigh(request.id().high())
                        .setIdLow(request.id().low())
                        .setTeam(request.team())
                        .setKind(request.kind())
                        .setRemainingMillis(submit.remainingMillis());
        for (TaskRequest task : request.tasks()) {
            builder.addTasksBuilder()
                    .setPayload(ByteString.copyFromUtf8(task.payload()))
                    .setExpectedMillis(task.expectedMillis());
        }
        return builder.build();
    }

    /** Leaves the deadline at 0; the receiver derives it from the remaining time. */
    private static SubmitJob decode(Wire.SubmitJob submit) {
        Wire.JobRequest encoded = submit.getRequest();
        List<TaskRequest> tasks =
                encoded.getTasksList().stream()
                        .map(task ->
                                new TaskRequest(
                                        task.getPayload().toStringUtf8(), task.getExpectedMillis()))
                        .toList();
        JobRequest request =
                new JobRequest(
                        new SubmissionId(encoded.getIdHigh(), encoded.getIdLow()),
                        encoded.getTeam(),
                        encoded.getKind(),
                        0,
                        tasks);
        return new SubmitJob(submit.getToken(), request, encoded.getRemainingMillis());
    }

    private static Wire.JobAnswer encode(JobAnswer answer) {
        Wire.JobAnswer.Builder builder = Wire.JobAnswer.newBuilder();
        switch (answer) {
            case JobAnswer.Complete complete ->
                    builder.setOutcome(OUTCOME_COMPLETE)
                            .addAllAnswers(
                                    complete.answers().stream()
                                            .map(ByteString::copyFromUtf8)
                                            .toList());
            case JobAnswer.NotRun notRun ->
                    builder.setOutcome(OUTCOME_NOT_RUN)
                            .setCode(notRun.code().code())
                            .setDetail(notRun.detail());
            case JobAnswer.Failed failed ->
                    builder.setOutcome(OUTCOME_FAILED)
                            .setCode(failed.code().code())
                            .setDetail(failed.detail());
            case JobAnswer.Pending pending ->
                    builder.setOutcome(OUTCOME_PENDING)
                            .setTasksEnded(pending.tasksEnded())
                            .setTasks(pending.tasks());
        }
        return builder.build();
    }

    private static JobAnswer decode(Wire.JobAnswer answer) {
        return switch (answer.getOutcome()) {
            case OUTCOME_COMPLETE ->
                    new JobAnswer.Complete(
                            answer.getAnswersList().stream()
                                    .map(ByteString::toStringUtf8)
                                    .toList());
            case OUTCOME_NOT_RUN ->
                    new JobAnswer.NotRun(ErrorCode.of(answer.getCode()), answer.getDetail());
            case OUTCOME_PENDING ->
                    new JobAnswer.Pending(answer.getTasksEnded(), answer.getTasks());
            default -> new JobAnswer.Failed(ErrorCode.of(answer.getCode()), answer.getDetail());
        };
    }
}
