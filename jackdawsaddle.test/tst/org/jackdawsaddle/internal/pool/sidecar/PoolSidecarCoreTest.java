package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReport;
import org.jackdawsaddle.internal.pool.PoolTiming;
import org.jackdawsaddle.pool.RunSnapshot;
import org.jackdawsaddle.pool.TargetGateway.PollReply;
import org.jackdawsaddle.pool.TargetGateway.StartReply;
import org.jackdawsaddle.pool.TargetIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how {@link PoolSidecarCore} starts, stops and reports runs, and follows its target. */
public class PoolSidecarCoreTest {
    private static final NodeId ENTRY = new NodeId("entry", 1);
    private static final long LEASE_MILLIS = 1_000;
    private static final Run RUN = new Run("00000000000000aa.0.0.0", 1);
    private static final Run OTHER_RUN = new Run("00000000000000bb.0.0.0", 1);

    private PoolSidecarCore mCore;
    private TargetIncarnation mTarget;
    private long mNow;
    private long mLastStartNumber;
    private long mLastPollNumber;
    private final List<PoolSidecarAction> mActions = new ArrayList<>();

    @BeforeMethod
    public void createServingSidecar() {
        mNow = 1_000_000;
        mLastStartNumber = 0;
        mActions.clear();
        mCore = new PoolSidecarCore(new NodeId("sidecar", 1), "here", 7, LEASE_MILLIS);
        mTarget = target(5, 1, false);
        handle(new PoolSidecarEvent.EntryConnected(ENTRY));
        handle(new PoolSidecarEvent.TargetAnnounced(mTarget));
        answerPoll(List.of(), List.of());
        assertTrue(mCore.serving());
    }

    @Test
    public void startsWhatFitsAndRefusesTheRest() {
        start(RUN, 10);
        assertEquals(actions(PoolSidecarAction.StartRun.class).size(), 1);
        start(OTHER_RUN, 10);
        assertEquals(reports(), List.of(new TaskReport(OTHER_RUN, ReportKind.NO_ROOM)));
        assertEquals(mCore.free().cores(), 6.0);
    }

    @Test
    public void refusesAStartWithAStaleClockReading() {
        handle(
                new PoolSidecarEvent.EntrySent(
                        ENTRY,
                        new PoolMessage.Start(
                                1,
                                mNow - PoolTiming.MAX_ORDER_AGE_MILLIS - 1,
                                List.of(task(RUN, 1)))));
        assertEquals(reports(), List.of(new TaskReport(RUN, ReportKind.NOT_SERVING)));
    }

    @Test
    public void keepsCapacityReservedUntilAnUnansweredStartIsResolved() {
        start(RUN, 10);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.UNANSWERED));
        assertEquals(actions(PoolSidecarAction.StopRun.class).size(), 1);
        assertEquals(mCore.free().cores(), 6.0);
        handle(new PoolSidecarEvent.StopAnswered(RUN, true));
        answerPoll(List.of(), List.of());
        assertEquals(mCore.free().cores(), 6.0, "polled before the stop was answered");
        answerPoll(List.of(), List.of());
        assertEquals(mCore.free().cores(), 16.0);
        assertEquals(reports(), List.of(new TaskReport(RUN, ReportKind.ENDED)));
    }

    @Test
    public void keepsARunThatIsListedThoughItsStartWasNotAnswered() {
        start(RUN, 1);
        answerPoll(List.of(new RunSnapshot.Running(RUN.task(), 1)), List.of());
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.UNANSWERED));
        assertTrue(actions(PoolSidecarAction.StopRun.class).isEmpty());
    }

    @Test
    public void repeatsAStopThatIsNotAnswered() {
        start(RUN, 1);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.UNANSWERED));
        actions(PoolSidecarAction.StopRun.class);
        handle(new PoolSidecarEvent.StopAnswered(RUN, false));
        mNow += 200;
        handle(new PoolSidecarEvent.Tick());
        assertEquals(actions(PoolSidecarAction.StopRun.class).size(), 1);
    }

    @Test
    public void reportsAnEndOnceAndAcknowledgesIt() {
        start(RUN, 1);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.STARTED));
        RunSnapshot.Ended end = new RunSnapshot.Ended(1, RUN.task(), 1, RunSnapshot.Outcome.DONE);
        answerPoll(List.of(), List.of(end));
        assertEquals(reports(), List.of(new TaskReport(RUN, ReportKind.DONE)));
        answerPoll(List.of(), List.of(end));
        assertEquals(reports(), List.of());
        assertTrue(mCore.idle());
    }

    @Test
    public void stopsTheRunsOfAnUnresponsiveEntry() {
        start(RUN, 1);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.STARTED));
        mNow += PoolTiming.CONNECTION_TIMEOUT_MILLIS + 1;
        handle(new PoolSidecarEvent.Tick());
        assertEquals(actions(PoolSidecarAction.DisconnectEntry.class).size(), 1);
        assertTrue(actions(PoolSidecarAction.StopRun.class).isEmpty());
        mNow += PoolTiming.RECONNECT_TIMEOUT_MILLIS;
        handle(new PoolSidecarEvent.Tick());
        assertEquals(actions(PoolSidecarAction.StopRun.class).size(), 1);
    }

    @Test
    public void keepsTheRunsOfAnEntryThatReconnects() {
        start(RUN, 1);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.STARTED));
        handle(new PoolSidecarEvent.EntryLost(ENTRY));
        mNow += PoolTiming.RECONNECT_TIMEOUT_MILLIS - 1;
        handle(new PoolSidecarEvent.EntryConnected(ENTRY));
        handle(
                new PoolSidecarEvent.EntrySent(
                        ENTRY, new PoolMessage.Resume(List.of(RUN, OTHER_RUN))));
        mNow += PoolTiming.RECONNECT_TIMEOUT_MILLIS;
        handle(new PoolSidecarEvent.Tick());
        assertEquals(
                reports(),
                List.of(
                        new TaskReport(RUN, ReportKind.HELD),
                        new TaskReport(OTHER_RUN, ReportKind.NOT_SERVING)));
        assertTrue(actions(PoolSidecarAction.StopRun.class).isEmpty());
    }

    @Test
    public void ignoresStaleAnnouncements() {
        handle(new PoolSidecarEvent.TargetAnnounced(target(4, 99, true)));
        assertTrue(mCore.serving(), "announced by an earlier incarnation");
        handle(new PoolSidecarEvent.TargetAnnounced(target(5, 1, true)));
        assertTrue(mCore.serving(), "sent before the latest announcement");
        handle(new PoolSidecarEvent.TargetAnnounced(target(5, 2, true)));
        assertFalse(mCore.serving());
    }

    @Test
    public void reconcilesRunsWithTheSnapshotOfANewIncarnation() {
        start(RUN, 1);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.STARTED));
        start(OTHER_RUN, 1);
        handle(new PoolSidecarEvent.StartAnswered(OTHER_RUN, StartReply.STARTED));
        mTarget = target(6, 1, false);
        handle(new PoolSidecarEvent.TargetAnnounced(mTarget));
        assertEquals(reports(), List.of());
        assertFalse(mCore.serving());
        answerPoll(List.of(new RunSnapshot.Running(OTHER_RUN.task(), 1)), List.of());
        assertEquals(
                reports(),
                List.of(
                        new TaskReport(RUN, ReportKind.SUSPECTED, "queue"),
                        new TaskReport(RUN, ReportKind.CRASHED)));
        assertEquals(mCore.free().cores(), 15.0);
        assertTrue(mCore.serving());
    }

    @Test
    public void stopsRunsOfAnEarlierSidecarIncarnationBeforeItServes() {
        mCore = new PoolSidecarCore(new NodeId("sidecar", 2), "here", 8, LEASE_MILLIS);
        mActions.clear();
        handle(new PoolSidecarEvent.TargetAnnounced(mTarget));
        answerPoll(List.of(new RunSnapshot.Running(RUN.task(), 1)), List.of());
        assertEquals(actions(PoolSidecarAction.StopRun.class).size(), 1);
        assertFalse(mCore.serving());
        mNow += 100;
        handle(new PoolSidecarEvent.Tick());
        answerPoll(List.of(), List.of());
        assertTrue(mCore.serving());
    }

    @Test
    public void servesALoadedTargetOnceItHasAnnouncedItselfAndAPollConfirmsItsIncarnation() {
        mCore = new PoolSidecarCore(new NodeId("sidecar", 2), "here", 8, LEASE_MILLIS);
        mActions.clear();
        handle(new PoolSidecarEvent.TargetLoaded(mTarget.withSequenceReset()));
        assertFalse(mCore.serving());
        RunSnapshot ofAnEarlierIncarnation = new RunSnapshot(4, 0, List.of(), List.of());
        handle(
                new PoolSidecarEvent.PollAnswered(
                        mTarget, mLastPollNumber, new PollReply.Answered(ofAnEarlierIncarnation)));
        handle(new PoolSidecarEvent.TargetAnnounced(mTarget));
        assertFalse(mCore.serving());
        mNow += 100;
        handle(new PoolSidecarEvent.Tick());
        answerPoll(List.of(), List.of());
        assertTrue(mCore.serving());
        assertTrue(
                actions(PoolSidecarAction.SaveTarget.class).isEmpty(),
                "the incarnation is saved already");
    }

    @Test
    public void savesEachIncarnationUntilTheSaveIsConfirmed() {
        handle(new PoolSidecarEvent.Tick());
        assertEquals(actions(PoolSidecarAction.SaveTarget.class).size(), 1);
        handle(new PoolSidecarEvent.TargetSaved(mTarget, false));
        mNow += 3_000;
        handle(new PoolSidecarEvent.Tick());
        assertEquals(actions(PoolSidecarAction.SaveTarget.class).size(), 1);
        handle(new PoolSidecarEvent.TargetSaved(mTarget, true));
        mNow += 3_000;
        handle(new PoolSidecarEvent.Tick());
        assertTrue(actions(PoolSidecarAction.SaveTarget.class).isEmpty());
    }

    @Test
    public void doesNotServeWhileTheTargetIsUnresponsive() {
        start(RUN, 1);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.STARTED));
        for (int poll = 0; poll < 3; poll++) {
            assertTrue(mCore.serving());
            handle(
                    new PoolSidecarEvent.PollAnswered(
                            mTarget, mLastPollNumber, new PollReply.Unanswered()));
            mNow += 100;
            handle(new PoolSidecarEvent.Tick());
        }
        assertFalse(mCore.serving());
        answerPoll(List.of(new RunSnapshot.Running(RUN.task(), 1)), List.of());
        assertTrue(mCore.serving());
    }

    @Test
    public void reportsTheRunsOfAnUnresponsiveTargetEndedOnceTheirLeasesHaveExpired() {
        start(RUN, 1);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.STARTED));
        answerPoll(List.of(new RunSnapshot.Running(RUN.task(), 1)), List.of());
        long heardAt = mNow;
        long latestLeaseEnd = leavePollsUnanswered(6);
        assertTrue(mNow - heardAt > latestLeaseEnd, "the lease is not cut short");
        assertEquals(reports(), List.of(new TaskReport(RUN, ReportKind.ENDED)));
        assertTrue(mNow - heardAt <= 1_200, "after " + (mNow - heardAt));
    }

    @Test
    public void servesAgainOnceAnUnresponsiveTargetAnswers() {
        start(RUN, 1);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.STARTED));
        leavePollsUnanswered(20);
        assertFalse(mCore.serving());
        assertEquals(actions(PoolSidecarAction.Poll.class).size(), 1, "polling continues");
        reports();
        answerPoll(List.of(), List.of());
        assertTrue(mCore.serving());
        start(OTHER_RUN, 1);
        List<PoolSidecarAction.StartRun> orders = actions(PoolSidecarAction.StartRun.class);
        long leaseUntil = orders.get(orders.size() - 1).leaseUntil();
        assertTrue(leaseUntil > PoolTiming.TICK_INTERVAL_MILLIS, "a full lease is requested again");
    }

    /**
     * Leaves polls unanswered, each until the timeout of the HTTP client that sends it.
     *
     * @return the end of the longest lease requested, on the target's clock, whose last reading was
     *     0
     */
    private long leavePollsUnanswered(int polls) {
        long latestLeaseEnd = 0;
        for (int poll = 0; poll < polls; poll++) {
            for (PoolSidecarAction.Poll action : actions(PoolSidecarAction.Poll.class)) {
                latestLeaseEnd = Math.max(latestLeaseEnd, action.leaseUntil().orElse(0L));
            }
            mNow += 130;
            handle(
                    new PoolSidecarEvent.PollAnswered(
                            mTarget, mLastPollNumber, new PollReply.Unanswered()));
            mNow += 50;
            handle(new PoolSidecarEvent.EntrySent(ENTRY, new PoolMessage.Ping(0, true, 0)));
            handle(new PoolSidecarEvent.Tick());
        }
        return latestLeaseEnd;
    }

    private static TargetIncarnation target(long startedAt, long sequence, boolean leaving) {
        return new TargetIncarnation(
                "target",
                startedAt,
                sequence,
                "ledger",
                "",
                new Demand(16, 1_000, 0),
                List.of(),
                leaving,
                0);
    }

    private static PoolMessage.StartTask task(Run run, double cores) {
        return new PoolMessage.StartTask(run, "queue", "payload", new Demand(cores, 1, 0));
    }

    private void start(Run run, double cores) {
        mLastStartNumber++;
        handle(
                new PoolSidecarEvent.EntrySent(
                        ENTRY,
                        new PoolMessage.Start(mLastStartNumber, mNow, List.of(task(run, cores)))));
    }

    private void answerPoll(List<RunSnapshot.Running> running, List<RunSnapshot.Ended> ended) {
        RunSnapshot snapshot = new RunSnapshot(mTarget.startedAt(), 0, running, ended);
        handle(
                new PoolSidecarEvent.PollAnswered(
                        mTarget, mLastPollNumber, new PollReply.Answered(snapshot)));
    }

    private void handle(PoolSidecarEvent event) {
        mCore.handle(event, mNow);
        for (PoolSidecarAction action : mCore.actions()) {
            mActions.add(action);
            if (action instanceof PoolSidecarAction.Poll poll) {
                mLastPollNumber = poll.number();
            }
        }
    }

    /** Returns and removes the actions of a type since the last call for it. */
    private <T extends PoolSidecarAction> List<T> actions(Class<T> type) {
        List<T> found = mActions.stream().filter(type::isInstance).map(type::cast).toList();
        mActions.removeAll(found);
        return found;
    }

    /** Returns the reports to entries since the last call, and discards other messages to them. */
    private List<TaskReport> reports() {
        return actions(PoolSidecarAction.SendToEntry.class).stream()
                .map(PoolSidecarAction.SendToEntry::message)
                .filter(PoolMessage.TaskReports.class::isInstance)
                .flatMap(message -> ((PoolMessage.TaskReports) message).reports().stream())
                .toList();
    }
}
