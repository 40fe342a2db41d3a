package org.jackdawsaddle.internal.wire;

import com.google.protobuf.ByteString;
import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.EntryMessage;
import org.jackdawsaddle.internal.message.Message;
import org.jackdawsaddle.internal.message.PeerMessage;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.SidecarMessage;
import org.jackdawsaddle.internal.message.StartTask;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.internal.message.TaskResult;
import org.jackdawsaddle.internal.wire.proto.Wire;
import org.jackdawsaddle.internal.wire.proto.Wire.Envelope;
import org.jackdawsaddle.job.SubmissionId;

/** Encodes messages to their protobuf form and decodes them. */
public final class WireCodec {
    // Indexed by the wire value, which is the ordinal.
    private static final TaskResult.State[] STATES = TaskResult.State.values();
    private static final TaskResult.Refusal[] REFUSALS = TaskResult.Refusal.values();

    private WireCodec() {}

    /** Encodes a message. */
    public static Envelope encode(Message message) {
        Envelope.Builder envelope = Envelope.newBuilder();
        switch (message) {
            case SidecarMessage sidecarMessage ->
                    SidecarMessageCodec.encode(sidecarMessage, envelope);
            case EntryMessage entryMessage -> EntryMessageCodec.encode(entryMessage, envelope);
            case PeerMessage peerMessage -> PeerMessageCodec.encode(peerMessage, envelope);
            case PoolMessage poolMessage -> PoolMessageCodec.encode(poolMessage, envelope);
        }
        return envelope.build();
    }

    /**
     * Decodes a message.
     *
     * @throws IllegalArgumentException if the envelope contains no message or an unknown error
     *     code; messages of a type that this version does not know count as none
     * @throws ArrayIndexOutOfBoundsException if it contains an unknown state, refusal or report
     *     kind; an unknown {@code JobAnswer.outcome} is decoded as failed
     */
    public static Message decode(Envelope envelope) {
        return switch (envelope.getBodyCase()) {
            case SIDECAR_HELLO,
                    TASK_RESULTS,
                    SEALED,
                    LEASE_RENEWED,
                    INQUIRY_ANSWER,
                    CONFIGURATION_APPLIED ->
                    SidecarMessageCodec.decode(envelope);
            case WELCOME,
                    START_TASKS,
                    STOP_TASKS,
                    SEAL,
                    RELEASE,
                    RENEW_LEASE,
                    INQUIRY,
                    TARGET_CONFIGURATION ->
                    EntryMessageCodec.decode(envelope);
            case POOL_HELLO,
                    POOL_ROOM,
                    POOL_TASK_REPORTS,
                    POOL_WELCOME,
                    POOL_START,
                    POOL_STOP,
                    POOL_RESUME,
                    POOL_PING,
                    POOL_PEER_HELLO,
                    POOL_MEMBERS,
                    POOL_CONFIGURATION_PUSH,
                    POOL_EVACUATION_PUSH,
                    POOL_JOB_CANCELLATION,
                    POOL_UNSETTLED_JOBS,
                    POOL_HAND_OVER,
                    POOL_HAND_OVER_ANSWER,
                    POOL_HAND_OVER_CANCELLATION ->
                    PoolMessageCodec.decode(envelope);
            case BODY_NOT_SET ->
                    throw new IllegalArgumentException("Envelope contains no known message");
            default -> PeerMessageCodec.decode(envelope);
        };
    }

    static Wire.NodeId encode(NodeId node) {
        return Wire.NodeId.newBuilder()
                .setName(node.name())
                .setIncarnation(node.incarnation())
                .build();
    }

    static NodeId decode(Wire.NodeId node) {
        return new NodeId(node.getName(), node.getIncarnation());
    }

    static Wire.TaskKey encode(TaskKey task) {
        return Wire.TaskKey.newBuilder()
                .setIdHigh(task.id().high())
                .setIdLow(task.id().low())
                .setIndex(task.index())
                .build();
    }

    static TaskKey decode(Wire.TaskKey task) {
        return new TaskKey(new SubmissionId(task.getIdHigh(), task.getIdLow()), task.getIndex());
    }

    static Wire.SubmissionKey encode(SubmissionId id) {
        return Wire.SubmissionKey.newBuilder().setIdHigh(id.high()).setIdLow(id.low()).build();
    }

    static SubmissionId decode(Wire.SubmissionKey key) {
        return new SubmissionId(key.getIdHigh(), key.getIdLow());
    }

    static Wire.Demand encode(Demand demand) {
        return Wire.Demand.newBuilder()
                .setCores(demand.cores())
                .setMemoryMegabytes(demand.memoryMegabytes())
                .setAccelerators(demand.accelerators())
                .build();
    }

    static Demand decode(Wire.Demand demand) {
        return new Demand(demand.getCores(), demand.getMemoryMegabytes(), demand.getAccelerators());
    }

    static Wire.TaskResult encode(TaskResult result) {
        return Wire.TaskResult.newBuilder()
                .setTask(encode(result.task()))
                .setState(result.state().ordinal())
                .setBody(ByteString.copyFromUtf8(result.body()))
                .setRefusal(result.refusal().ordinal())
                .setRunMicros(result.runMicros())
                .build();
    }

    static TaskResult decode(Wire.TaskResult result) {
        return new TaskResult(
                decode(result.getTask()),
                STATES[result.getState()],
                result.getBody().toStringUtf8(),
                REFUSALS[result.getRefusal()],
                result.getRunMicros());
    }

    static List<Wire.TaskResult> encodeResults(List<TaskResult> results) {
        return results.stream().map(WireCodec::encode).toList();
    }

    static List<TaskResult> decodeResults(List<Wire.TaskResult> results) {
        return results.stream().map(WireCodec::decode).toList();
    }

    static Wire.StartTask encode(StartTask start) {
        return Wire.StartTask.newBuilder()
                .setTask(encode(start.task()))
                .setKind(start.kind())
                .setPayload(ByteString.copyFromUtf8(start.payload()))
                .setRemainingMillis(start.remainingMillis())
                .setDemand(encode(start.demand()))
                .build();
    }

    static StartTask decode(Wire.StartTask start) {
        return new StartTask(
                decode(start.getTask()),
                start.getKind(),
                start.getPayload().toStringUtf8(),
                start.getRemainingMillis(),
                decode(start.getDemand()));
    }
}
