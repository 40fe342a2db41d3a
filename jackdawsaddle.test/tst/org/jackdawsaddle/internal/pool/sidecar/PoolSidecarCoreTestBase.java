package org.jackdawsaddle.internal.pool.sidecar;

import java.util.ArrayList;
import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReport;
import org.jackdawsaddle.pool.RunSnapshot;
import org.jackdawsaddle.pool.TargetGateway.PollReply;
import org.jackdawsaddle.pool.TargetGateway.StartReply;
import org.jackdawsaddle.pool.TargetIncarnation;
import org.testng.annotations.BeforeMethod;

/** A sidecar that serves, with two connected entries, and what it has ordered and sent. */
abstract class PoolSidecarCoreTestBase {
    static final NodeId OWNER = new NodeId("owner", 1);
    static final NodeId OTHER = new NodeId("other", 1);
    static final long START_MILLIS = 1_000_000;
    static final long LEASE_MILLIS = 1_000;
    static final String QUEUE = "queue";
    static final String JOB = "00000000000000aa";
    static final Run RUN = new Run(JOB + ".0.0.0", 1);
    static final TargetIncarnation TARGET =
            new TargetIncarnation(
                    "target", 5, 1, "service", "", new Demand(16, 1 << 20, 0), List.of(), false, 0);

    PoolSidecarCore mCore;
    long mNow;
    private long mLastPollNumber;
    private TargetIncarnation mPolledTarget;

    /** The end of the latest lease that a poll requested, on the target's clock. */
    long mLatestLeaseEnd;

    /** The fencing token in the latest poll. */
    long mLatestToken;

    final List<Run> mStops = new ArrayList<>();
    final List<TargetIncarnation> mSaved = new ArrayList<>();
    final List<PoolSidecarAction.SendToEntry> mSent = new ArrayList<>();

    @BeforeMethod
    public void createServingSidecar() {
        mNow = START_MILLIS;
        mLatestLeaseEnd = 0;
        mStops.clear();
        mSaved.clear();
        mCore = new PoolSidecarCore(new NodeId("sidecar", 1), "here", 7, LEASE_MILLIS);
        handle(new PoolSidecarEvent.EntryConnected(OWNER));
        handle(new PoolSidecarEvent.EntryConnected(OTHER));
        handle(new PoolSidecarEvent.TargetAnnounced(TARGET));
        answerPoll();
        mSent.clear();
    }

    /** Starts a run of the owner, which the target confirms. */
    void start(Run run) {
        send(OWNER, new PoolMessage.Start(1, mNow, List.of(task(run))));
        handle(new PoolSidecarEvent.StartAnswered(run, StartReply.STARTED));
    }

    /** Returns the request to start a run that needs one core. */
    static PoolMessage.StartTask task(Run run) {
        return new PoolMessage.StartTask(run, QUEUE, "", new Demand(1, 0, 0));
    }

    void send(NodeId entry, PoolMessage message) {
        handle(new PoolSidecarEvent.EntrySent(entry, message));
    }

    void ping(NodeId entry) {
        send(entry, new PoolMessage.Ping(0, false, 0));
    }

    void tick() {
        handle(new PoolSidecarEvent.Tick());
    }

    /** Answers the latest poll with a snapshot that lists these runs as running. */
    void answerPoll(Run... running) {
        answerPollAs(TARGET, running);
    }

    /** The same as {@link #answerPoll}, but from another incarnation of the target. */
    void answerPollAs(TargetIncarnation incarnation, Run... running) {
        answerPollAt(0, incarnation, running);
    }

    /** The same with a reading of the incarnation's clock. */
    void answerPollAt(long clock, TargetIncarnation incarnation, Run... running) {
        List<RunSnapshot.Running> listed = new ArrayList<>();
        for (Run run : running) {
            listed.add(new RunSnapshot.Running(run.task(), run.run()));
        }
        RunSnapshot snapshot = new RunSnapshot(incarnation.startedAt(), clock, listed, List.of());
        reply(new PollReply.Answered(snapshot));
    }

    /** Answers the latest poll, or lets it fail. */
    void reply(PollReply reply) {
        handle(new PoolSidecarEvent.PollAnswered(mPolledTarget, mLastPollNumber, reply));
    }

    void handle(PoolSidecarEvent event) {
        mCore.handle(event, mNow);
        for (PoolSidecarAction action : mCore.actions()) {
            switch (action) {
                case PoolSidecarAction.Poll poll -> {
                    mLastPollNumber = poll.number();
                    mPolledTarget = poll.target();
                    mLatestToken = poll.fencingToken();
                    mLatestLeaseEnd = Math.max(mLatestLeaseEnd, poll.leaseUntil().orElse(0L));
                }
                case PoolSidecarAction.StopRun stop -> mStops.add(stop.run());
                case PoolSidecarAction.SaveTarget save -> mSaved.add(save.target());
                case PoolSidecarAction.SendToEntry send -> mSent.add(send);
                default -> {}
            }
        }
    }

    List<TaskReport> reports(NodeId entry) {
        return mSent.stream()
                .filter(send -> send.entry().equals(entry))
                .map(PoolSidecarAction.SendToEntry::message)
                .filter(PoolMessage.TaskReports.class::isInstance)
                .flatMap(message -> ((PoolMessage.TaskReports) message).reports().stream())
                .toList();
    }

    /** Returns the latest report of free capacity that was sent to an entry. */
    PoolMessage.Room lastRoom(NodeId entry) {
        return mSent.stream()
                .filter(send -> send.entry().equals(entry))
                .map(PoolSidecarAction.SendToEntry::message)
                .filter(PoolMessage.Room.class::isInstance)
                .map(PoolMessage.Room.class::cast)
                .reduce((first, second) -> second)
                .orElseThrow();
    }
}
