package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReport;
import org.jackdawsaddle.pool.TargetLife;
import org.jackdawsaddle.pool.TargetLists;
import org.jackdawsaddle.pool.TargetPort.StartReply;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a sidecar of a pool starts, stops and tells. */
public class PoolSidecarCoreTest {
    private static final NodeId ENTRY = new NodeId("entry", 1);
    private static final long LEASE_MILLIS = 1_000;
    private static final Run RUN = new Run("00000000000000aa.0.0.0", 1);
    private static final Run OTHER = new Run("00000000000000bb.0.0.0", 1);

    private PoolSidecarCore mCore;
    private TargetLife mLife;
    private long mNow;
    private long mStarts;
    private long mPoll;
    private final List<PoolSidecarAction> mActions = new ArrayList<>();

    @BeforeMethod
    public void createServingSidecar() {
        mNow = 1_000_000;
        mStarts = 0;
        mActions.clear();
        mCore = new PoolSidecarCore(new NodeId("sidecar", 1), "here", 7, LEASE_MILLIS);
        mLife = life(5, 1, false);
        handle(new PoolSidecarEvent.EntryConnected(ENTRY));
        handle(new PoolSidecarEvent.TargetAnnounced(mLife));
        answerPoll(List.of(), List.of());
        assertTrue(mCore.serving());
    }

    @Test
    public void startsWhatFitsAndRefusesTheRest() {
        start(RUN, 10);
        assertEquals(actions(PoolSidecarAction.StartRun.class).size(), 1);
        start(OTHER, 10);
        assertEquals(reports(), List.of(new TaskReport(OTHER, ReportKind.NO_ROOM)));
        assertEquals(mCore.free().cores(), 6.0);
    }

    @Test
    public void refusesAnOrderThatQuotesAnOldClock() {
        handle(
                new PoolSidecarEvent.EntrySent(
                        ENTRY,
                        new PoolMessage.Start(
                                1, mNow - PoolTiming.ORDER_MILLIS - 1, List.of(task(RUN, 1)))));
        assertEquals(reports(), List.of(new TaskReport(RUN, ReportKind.NOT_SERVING)));
    }

    @Test
    public void keepsRoomUntilAnUnansweredStartIsSettled() {
        start(RUN, 10);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.UNANSWERED));
        assertEquals(actions(PoolSidecarAction.StopRun.class).size(), 1);
        assertEquals(mCore.free().cores(), 6.0);
        handle(new PoolSidecarEvent.StopAnswered(RUN, true));
        answerPoll(List.of(), List.of());
        assertEquals(mCore.free().cores(), 6.0, "asked for before the stop was answered");
        answerPoll(List.of(), List.of());
        assertEquals(mCore.free().cores(), 16.0);
        assertEquals(reports(), List.of(new TaskReport(RUN, ReportKind.ENDED)));
    }

    @Test
    public void keepsARunThatIsListedThoughItsStartWasNotAnswered() {
        start(RUN, 1);
        answerPoll(List.of(new TargetLists.Held(RUN.task(), 1)), List.of());
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
    public void tellsAnEndOnceAndConfirmsIt() {
        start(RUN, 1);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.STARTED));
        TargetLists.Ended end = new TargetLists.Ended(1, RUN.task(), 1, TargetLists.How.DONE);
        answerPoll(List.of(), List.of(end));
        assertEquals(reports(), List.of(new TaskReport(RUN, ReportKind.DONE)));
        answerPoll(List.of(), List.of(end));
        assertEquals(reports(), List.of());
        assertTrue(mCore.idle());
    }

    @Test
    public void stopsTheRunsOfASilentEntry() {
        start(RUN, 1);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.STARTED));
        mNow += PoolTiming.SILENCE_MILLIS + 1;
        handle(new PoolSidecarEvent.Tick());
        assertEquals(actions(PoolSidecarAction.DropEntry.class).size(), 1);
        assertTrue(actions(PoolSidecarAction.StopRun.class).isEmpty());
        mNow += PoolTiming.RECONNECT_MILLIS;
        handle(new PoolSidecarEvent.Tick());
        assertEquals(actions(PoolSidecarAction.StopRun.class).size(), 1);
    }

    @Test
    public void keepsTheRunsOfAnEntryThatReconnects() {
        start(RUN, 1);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.STARTED));
        handle(new PoolSidecarEvent.EntryLost(ENTRY));
        mNow += PoolTiming.RECONNECT_MILLIS - 1;
        handle(new PoolSidecarEvent.EntryConnected(ENTRY));
        handle(new PoolSidecarEvent.EntrySent(ENTRY, new PoolMessage.Resume(List.of(RUN, OTHER))));
        mNow += PoolTiming.RECONNECT_MILLIS;
        handle(new PoolSidecarEvent.Tick());
        assertEquals(
                reports(),
                List.of(
                        new TaskReport(RUN, ReportKind.HELD),
                        new TaskReport(OTHER, ReportKind.NOT_SERVING)));
        assertTrue(actions(PoolSidecarAction.StopRun.class).isEmpty());
    }

    @Test
    public void passesOverOutdatedAnnouncements() {
        handle(new PoolSidecarEvent.TargetAnnounced(life(4, 99, true)));
        assertTrue(mCore.serving(), "of an earlier life");
        handle(new PoolSidecarEvent.TargetAnnounced(life(5, 1, true)));
        assertTrue(mCore.serving(), "sent before the last one");
        handle(new PoolSidecarEvent.TargetAnnounced(life(5, 2, true)));
        assertFalse(mCore.serving());
    }

    @Test
    public void letsTheListsOfANewLifeSettleRuns() {
        start(RUN, 1);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.STARTED));
        start(OTHER, 1);
        handle(new PoolSidecarEvent.StartAnswered(OTHER, StartReply.STARTED));
        mLife = life(6, 1, false);
        handle(new PoolSidecarEvent.TargetAnnounced(mLife));
        assertEquals(reports(), List.of());
        assertFalse(mCore.serving());
        answerPoll(List.of(new TargetLists.Held(OTHER.task(), 1)), List.of());
        assertEquals(reports(), List.of(new TaskReport(RUN, ReportKind.ENDED)));
        assertEquals(mCore.free().cores(), 15.0);
        assertTrue(mCore.serving());
    }

    @Test
    public void stopsWhatAnEarlierLifeOrderedBeforeItServes() {
        mCore = new PoolSidecarCore(new NodeId("sidecar", 2), "here", 8, LEASE_MILLIS);
        mActions.clear();
        handle(new PoolSidecarEvent.TargetAnnounced(mLife));
        answerPoll(List.of(new TargetLists.Held(RUN.task(), 1)), List.of());
        assertEquals(actions(PoolSidecarAction.StopRun.class).size(), 1);
        assertFalse(mCore.serving());
        mNow += 100;
        handle(new PoolSidecarEvent.Tick());
        answerPoll(List.of(), List.of());
        assertTrue(mCore.serving());
    }

    @Test
    public void servesByARecalledLifeOnceTheTargetAnswersAsThat() {
        mCore = new PoolSidecarCore(new NodeId("sidecar", 2), "here", 8, LEASE_MILLIS);
        mActions.clear();
        handle(new PoolSidecarEvent.TargetRecalled(mLife.asFirst()));
        assertFalse(mCore.serving());
        TargetLists ofAnother = new TargetLists(9, 0, List.of(), List.of());
        handle(new PoolSidecarEvent.ListsAnswered(mLife, mPoll, Optional.of(ofAnother)));
        assertFalse(mCore.serving());
        mNow += 100;
        handle(new PoolSidecarEvent.Tick());
        answerPoll(List.of(), List.of());
        assertTrue(mCore.serving());
        assertTrue(actions(PoolSidecarAction.KeepTarget.class).isEmpty(), "it is kept already");
    }

    @Test
    public void keepsEachLifeUntilThatIsCertain() {
        handle(new PoolSidecarEvent.Tick());
        assertEquals(actions(PoolSidecarAction.KeepTarget.class).size(), 1);
        handle(new PoolSidecarEvent.TargetKept(mLife, false));
        mNow += 3_000;
        handle(new PoolSidecarEvent.Tick());
        assertEquals(actions(PoolSidecarAction.KeepTarget.class).size(), 1);
        handle(new PoolSidecarEvent.TargetKept(mLife, true));
        mNow += 3_000;
        handle(new PoolSidecarEvent.Tick());
        assertTrue(actions(PoolSidecarAction.KeepTarget.class).isEmpty());
    }

    @Test
    public void takesNoWorkWhileTheTargetDoesNotAnswer() {
        start(RUN, 1);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.STARTED));
        for (int call = 0; call < 3; call++) {
            assertTrue(mCore.serving());
            handle(new PoolSidecarEvent.ListsAnswered(mLife, mPoll, Optional.empty()));
            mNow += 100;
            handle(new PoolSidecarEvent.Tick());
        }
        assertFalse(mCore.serving());
        answerPoll(List.of(new TargetLists.Held(RUN.task(), 1)), List.of());
        assertTrue(mCore.serving());
    }

    @Test
    public void takesTheRunsOfASilentTargetAsLostOnceTheirLeaseIsSurelyOver() {
        start(RUN, 1);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.STARTED));
        answerPoll(List.of(new TargetLists.Held(RUN.task(), 1)), List.of());
        long heardAt = mNow;
        long promised = beSilent(6);
        assertTrue(mNow - heardAt > promised, "the lease is not cut short");
        assertEquals(reports(), List.of(new TaskReport(RUN, ReportKind.ENDED)));
        assertTrue(mNow - heardAt <= 1_200, "after " + (mNow - heardAt));
    }

    @Test
    public void servesAgainOnceASilentTargetAnswers() {
        start(RUN, 1);
        handle(new PoolSidecarEvent.StartAnswered(RUN, StartReply.STARTED));
        beSilent(20);
        assertFalse(mCore.serving());
        assertEquals(actions(PoolSidecarAction.Poll.class).size(), 1, "it is asked on and on");
        reports();
        answerPoll(List.of(), List.of());
        assertTrue(mCore.serving());
        start(OTHER, 1);
        List<PoolSidecarAction.StartRun> orders = actions(PoolSidecarAction.StartRun.class);
        long lead = orders.get(orders.size() - 1).leaseUntil();
        assertTrue(lead > PoolTiming.TICK_MILLIS, "a full lease after the silence");
    }

    /**
     * Lets calls for lists go unanswered, each for as long as the adapter waits.
     *
     * @return the end of the longest lease that was asked for, on the target's clock, which stood
     *     at 0 in its last answer
     */
    private long beSilent(int calls) {
        long promised = 0;
        for (int call = 0; call < calls; call++) {
            for (PoolSidecarAction.Poll poll : actions(PoolSidecarAction.Poll.class)) {
                promised = Math.max(promised, poll.leaseUntil().orElse(0L));
            }
            mNow += 130;
            handle(new PoolSidecarEvent.ListsAnswered(mLife, mPoll, Optional.empty()));
            mNow += 50;
            handle(new PoolSidecarEvent.EntrySent(ENTRY, new PoolMessage.Ping(0)));
            handle(new PoolSidecarEvent.Tick());
        }
        return promised;
    }

    private static TargetLife life(long startedAt, long sequence, boolean leaving) {
        return new TargetLife(
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
        return new PoolMessage.StartTask(run, "payload", new Demand(cores, 1, 0));
    }

    private void start(Run run, double cores) {
        mStarts++;
        handle(
                new PoolSidecarEvent.EntrySent(
                        ENTRY, new PoolMessage.Start(mStarts, mNow, List.of(task(run, cores)))));
    }

    private void answerPoll(List<TargetLists.Held> running, List<TargetLists.Ended> ended) {
        TargetLists lists = new TargetLists(mLife.startedAt(), 0, running, ended);
        handle(new PoolSidecarEvent.ListsAnswered(mLife, mPoll, Optional.of(lists)));
    }

    private void handle(PoolSidecarEvent event) {
        mCore.handle(event, mNow);
        for (PoolSidecarAction action : mCore.actions()) {
            mActions.add(action);
            if (action instanceof PoolSidecarAction.Poll poll) {
                mPoll = poll.number();
            }
        }
    }

    private <T extends PoolSidecarAction> List<T> actions(Class<T> type) {
        List<T> found = mActions.stream().filter(type::isInstance).map(type::cast).toList();
        mActions.removeAll(found);
        return found;
    }

    private List<TaskReport> reports() {
        return actions(PoolSidecarAction.SendToEntry.class).stream()
                .map(PoolSidecarAction.SendToEntry::message)
                .filter(PoolMessage.TaskReports.class::isInstance)
                .flatMap(message -> ((PoolMessage.TaskReports) message).reports().stream())
                .toList();
    }
}
