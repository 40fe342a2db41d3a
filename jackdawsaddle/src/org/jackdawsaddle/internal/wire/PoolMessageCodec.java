package org.jackdawsaddle.internal.wire;

import java.util.List;
import java.util.Set;
import org.jackdawsaddle.internal.message.EntryLoad;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.ConfigurationPush;
import org.jackdawsaddle.internal.message.PoolMessage.EvacuationPush;
import org.jackdawsaddle.internal.message.PoolMessage.HandOver;
import org.jackdawsaddle.internal.message.PoolMessage.HandOverAnswer;
import org.jackdawsaddle.internal.message.PoolMessage.HandOverCancellation;
import org.jackdawsaddle.internal.message.PoolMessage.Hello;
import org.jackdawsaddle.internal.message.PoolMessage.JobCancellation;
import org.jackdawsaddle.internal.message.PoolMessage.Members;
import org.jackdawsaddle.internal.message.PoolMessage.PeerHello;
import org.jackdawsaddle.internal.message.PoolMessage.Ping;
import org.jackdawsaddle.internal.message.PoolMessage.Resume;
import org.jackdawsaddle.internal.message.PoolMessage.Room;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.message.PoolMessage.Start;
import org.jackdawsaddle.internal.message.PoolMessage.StartTask;
import org.jackdawsaddle.internal.message.PoolMessage.Stop;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReport;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReports;
import org.jackdawsaddle.internal.message.PoolMessage.UnsettledJobs;
import org.jackdawsaddle.internal.message.PoolMessage.Welcome;
import org.jackdawsaddle.internal.wire.proto.Wire;
import org.jackdawsaddle.internal.wire.proto.Wire.Envelope;
import org.jackdawsaddle.pool.Evacuation;

/** Encodes and decodes the messages of a pool, between all kinds of processes. */
final class PoolMessageCodec {
    /** Indexed by the wire value, which is the ordinal. */
    private static final PoolMessage.ReportKind[] REPORT_KINDS = PoolMessage.ReportKind.values();

    private PoolMessageCodec() {}

    static void encode(PoolMessage message, Envelope.Builder envelope) {
        switch (message) {
            case Hello hello -> encode(hello, envelope);
            case Room room ->
                    envelope.getPoolRoomBuilder()
                            .setFree(WireCodec.encode(room.free()))
                            .setServing(room.serving())
                            .setClock(room.clock())
                            .setHandledStarts(room.handledStarts())
                            .setSettledStarts(room.settledStarts())
                            .addAllUnsettledJobs(room.unsettledJobs());
            case TaskReports reports ->
                    reports.reports()
                            .forEach(report ->
                                    envelope.getPoolTaskReportsBuilder()
                                            .addReports(encode(report)));
            case Welcome welcome ->
                    envelope.getPoolWelcomeBuilder()
                            .setEntry(WireCodec.encode(welcome.entry()))
                            .addAllAddresses(welcome.addresses());
            case Start start ->
                    envelope.getPoolStartBuilder()
                            .setNumber(start.number())
                            .setClock(start.clock())
                            .addAllTasks(
                                    start.tasks().stream().map(PoolMessageCodec::encode).toList());
            case Stop stop -> envelope.getPoolStopBuilder().addAllRuns(encode(stop.runs()));
            case Resume resume -> envelope.getPoolResumeBuilder().addAllRuns(encode(resume.runs()));
            case Ping ping -> encode(ping, envelope);
            case HandOver handOver -> envelope.setPoolHandOver(HandOverCodec.encode(handOver));
            case HandOverAnswer answer ->
                    envelope.setPoolHandOverAnswer(HandOverCodec.encode(answer));
            case HandOverCancellation cancellation ->
                    envelope.getPoolHandOverCancellationBuilder().setNumber(cancellation.number());
            case PeerHello hello ->
                    envelope.getPoolPeerHelloBuilder()
                            .setEntry(WireCodec.encode(hello.entry()))
                            .setAddress(hello.address())
                            .setConfigurationVersion(hello.configurationVersion())
                            .setEvacuationRevision(hello.evacuationRevision());
            case Members members ->
                    envelope.getPoolMembersBuilder().addAllAddresses(members.addresses());
            case ConfigurationPush push ->
                    envelope.getPoolConfigurationPushBuilder()
                            .setVersion(push.version())
                            .setText(push.text());
            case JobCancellation cancellation ->
                    envelope.getPoolJobCancellationBuilder().setJob(cancellation.job());
            case UnsettledJobs unsettled ->
                    envelope.getPoolUnsettledJobsBuilder().addAllJobs(unsettled.jobs());
            case EvacuationPush push ->
                    envelope.getPoolEvacuationPushBuilder()
                            .setRevision(push.evacuation().revision())
                            .addAllDataCentres(push.evacuation().dataCentres());
        }
    }

    private static void encode(Ping ping, Envelope.Builder envelope) {
        envelope.getPoolPingBuilder()
                .setConfigurationVersion(ping.configurationVersion())
                .setWatching(ping.watching())
                .setEvacuationRevision(ping.evacuationRevision())
                .setProcessorCores(ping.load().processorCores())
                .setTasksPerSecond(ping.load().tasksPerSecond());
    }

    private static void encode(Hello hello, Envelope.Builder envelope) {
        envelope.getPoolHelloBuilder()
                .setSidecar(WireCodec.encode(hello.sidecar()))
                .setDataCentre(hello.dataCentre())
                .setTarget(hello.target())
                .setService(hello.service())
                .setCapacity(WireCodec.encode(hello.capacity()))
                .addAllLabels(hello.labels())
                .setConfigurationVersion(hello.configurationVersion())
                .setEvacuationRevision(hello.evacuationRevision());
    }

    static PoolMessage decode(Envelope envelope) {
        return switch (envelope.getBodyCase()) {
            case POOL_HELLO -> decode(envelope.getPoolHello());
            case POOL_ROOM -> decode(envelope.getPoolRoom());
            case POOL_TASK_REPORTS ->
                    new TaskReports(
                            envelope.getPoolTaskReports().getReportsList().stream()
                                    .map(report ->
                                            new TaskReport(
                                                    decode(report.getRun()),
                                                    REPORT_KINDS[report.getKind()],
                                                    report.getQueue()))
                                    .toList());
            case POOL_WELCOME ->
                    new Welcome(
                            WireCodec.decode(envelope.getPoolWelcome().getEntry()),
                            List.copyOf(envelope.getPoolWelcome().getAddressesList()));
            case POOL_START -> decode(envelope.getPoolStart());
            case POOL_STOP -> new Stop(decode(envelope.getPoolStop().getRunsList()));
            case POOL_RESUME -> new Resume(decode(envelope.getPoolResume().getRunsList()));
            case POOL_PING -> decode(envelope.getPoolPing());
            case POOL_HAND_OVER -> HandOverCodec.decode(envelope.getPoolHandOver());
            case POOL_HAND_OVER_ANSWER -> HandOverCodec.decode(envelope.getPoolHandOverAnswer());
            case POOL_HAND_OVER_CANCELLATION ->
                    new HandOverCancellation(envelope.getPoolHandOverCancellation().getNumber());
            case POOL_PEER_HELLO ->
                    new PeerHello(
                            WireCodec.decode(envelope.getPoolPeerHello().getEntry()),
                            envelope.getPoolPeerHello().getAddress(),
                            envelope.getPoolPeerHello().getConfigurationVersion(),
                            envelope.getPoolPeerHello().getEvacuationRevision());
            case POOL_MEMBERS ->
                    new Members(List.copyOf(envelope.getPoolMembers().getAddressesList()));
            case POOL_CONFIGURATION_PUSH ->
                    new ConfigurationPush(
                            envelope.getPoolConfigurationPush().getVersion(),
                            envelope.getPoolConfigurationPush().getText());
            case POOL_JOB_CANCELLATION ->
                    new JobCancellation(envelope.getPoolJobCancellation().getJob());
            case POOL_UNSETTLED_JOBS ->
                    new UnsettledJobs(List.copyOf(envelope.getPoolUnsettledJobs().getJobsList()));
            case POOL_EVACUATION_PUSH -> decode(envelope.getPoolEvacuationPush());
            default -> throw new IllegalArgumentException("Envelope contains no pool message");
        };
    }

    private static Hello decode(Wire.PoolHello hello) {
        return new Hello(
                WireCodec.decode(hello.getSidecar()),
                hello.getDataCentre(),
                hello.getTarget(),
                hello.getService(),
                WireCodec.decode(hello.getCapacity()),
                List.copyOf(hello.getLabelsList()),
                hello.getConfigurationVersion(),
                hello.getEvacuationRevision());
    }

    private static Ping decode(Wire.PoolPing ping) {
        return new Ping(
                ping.getConfigurationVersion(),
                ping.getWatching(),
                ping.getEvacuationRevision(),
                new EntryLoad(ping.getProcessorCores(), ping.getTasksPerSecond()));
    }

    private static EvacuationPush decode(Wire.PoolEvacuationPush push) {
        return new EvacuationPush(
                new Evacuation(push.getRevision(), Set.copyOf(push.getDataCentresList())));
    }

    private static Room decode(Wire.PoolRoom room) {
        return new Room(
                WireCodec.decode(room.getFree()),
                room.getServing(),
                room.getClock(),
                room.getHandledStarts(),
                room.getSettledStarts(),
                List.copyOf(room.getUnsettledJobsList()));
    }

    private static Start decode(Wire.PoolStart start) {
        return new Start(
                start.getNumber(),
                start.getClock(),
                start.getTasksList().stream()
                        .map(task ->
                                new StartTask(
                                        decode(task.getRun()),
                                        task.getQueue(),
                                        task.getPayload(),
                                        WireCodec.decode(task.getDemand())))
                        .toList());
    }

    private static Wire.PoolTaskReport encode(TaskReport report) {
        return Wire.PoolTaskReport.newBuilder()
                .setRun(encode(report.run()))
                .setKind(report.kind().ordinal())
                .setQueue(report.queue())
                .build();
    }

    private static Wire.PoolStartTask encode(StartTask task) {
        return Wire.PoolStartTask.newBuilder()
                .setRun(encode(task.run()))
                .setQueue(task.queue())
                .setPayload(task.payload())
                .setDemand(WireCodec.encode(task.demand()))
                .build();
    }

    private static Wire.PoolRun encode(Run run) {
        return Wire.PoolRun.newBuilder().setTask(run.task()).setRun(run.run()).build();
    }

    private static List<Wire.PoolRun> encode(List<Run> runs) {
        return runs.stream().map(PoolMessageCodec::encode).toList();
    }

    private static Run decode(Wire.PoolRun run) {
        return new Run(run.getTask(), run.getRun());
    }

    private static List<Run> decode(List<Wire.PoolRun> runs) {
        return runs.stream().map(PoolMessageCodec::decode).toList();
    }
}
