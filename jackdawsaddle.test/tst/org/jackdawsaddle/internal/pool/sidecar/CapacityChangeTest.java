package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.pool.RunSnapshot;
import org.jackdawsaddle.pool.TargetGateway.PollReply;
import org.jackdawsaddle.pool.TargetGateway.StartReply;
import org.jackdawsaddle.pool.TargetIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that {@link PoolSidecarCore} starts no run over the capacity that its target has now. */
public class CapacityChangeTest {
    private static final NodeId ENTRY = new NodeId("entry", 1);
    private static final Demand FULL = new Demand(16, 1_000, 2);
    private static final Demand HALF = new Demand(8, 500, 1);
    private static final Run RUN = new Run("00000000000000aa.0.0.0", 1);
    private static final Run OTHER_RUN = new Run("00000000000000bb.0.0.0", 1);

    /** A shrunk capacity counts this long after the announcement before it, in milliseconds. */
    private static final long SHRINK_GRACE_MILLIS = 4_500;

    private PoolSidecarCore mCore;
    private long mNow;
    private long mLastSequence;
    private long mLastStartNumber;
    private PoolSidecarAction.Poll mLastPoll;
    private final List<PoolSidecarAction> mActions = new ArrayList<>();

    @BeforeMethod
    public void createServingSidecar() {
        mNow = 1_000_000;
        mLastSequence = 0;
        createSidecar();
        announce(FULL);
        answerPoll();
        assertTrue(mCore.serving());
    }

    @Test
    public void startsNothingUntilRunsAboveAShrunkCapacityHaveEnded() {
        start(RUN, new Demand(12, 100, 0));
        answerStart(RUN, StartReply.STARTED);
        announce(HALF);
        assertEquals(actions(PoolSidecarAction.StopRun.class), List.of(), "the run goes on");
        assertEquals(mCore.free(), new Demand(-4, 400, 1));
        assertFalse(starts(OTHER_RUN, new Demand(1, 1, 0)));
        assertFalse(starts(OTHER_RUN, Demand.NONE), "even without a demand");
        answerPollAfterEnd(RUN);
        assertTrue(starts(OTHER_RUN, new Demand(8, 1, 0)));
    }

    @Test
    public void appliesAShrunkCapacityToEachResource() {
        announce(HALF);
        assertFalse(starts(RUN, new Demand(9, 1, 0)));
        assertFalse(starts(RUN, new Demand(1, 501, 0)));
        assertFalse(starts(RUN, new Demand(1, 1, 2)));
        assertTrue(starts(RUN, HALF));
    }

    @Test
    public void countsWhatIsBeingStoppedAgainstAShrunkCapacity() {
        start(RUN, new Demand(8, 1, 0));
        answerStart(RUN, StartReply.STARTED);
        announce(HALF);
        handle(new PoolSidecarEvent.EntrySent(ENTRY, new PoolMessage.Stop(List.of(RUN))));
        assertFalse(starts(OTHER_RUN, new Demand(1, 1, 0)));
        handle(new PoolSidecarEvent.StopAnswered(RUN, true));
        assertFalse(starts(OTHER_RUN, new Demand(1, 1, 0)), "confirmed, but not seen to end");
        answerPollAfterEnd(RUN);
        assertTrue(starts(OTHER_RUN, new Demand(1, 1, 0)));
    }

    @Test
    public void usesAGrownCapacityAndReportsItAtOnce() {
        announce(HALF);
        actions(PoolSidecarAction.SendToEntry.class);
        announce(FULL);
        List<PoolMessage> sent =
                actions(PoolSidecarAction.SendToEntry.class).stream()
                        .map(PoolSidecarAction.SendToEntry::message)
                        .toList();
        assertEquals(((PoolMessage.Hello) sent.get(0)).capacity(), FULL);
        assertEquals(((PoolMessage.Room) sent.get(1)).free(), FULL);
        assertTrue(starts(RUN, FULL));
    }

    @Test
    public void ignoresAnOlderCapacityThatArrivesLate() {
        announce(HALF);
        handle(new PoolSidecarEvent.TargetAnnounced(target(FULL, mLastSequence - 1)));
        assertFalse(starts(RUN, new Demand(9, 1, 0)));
    }

    @Test
    public void startsNothingOnACapacityThatMayHaveShrunkUnheard() {
        mNow += SHRINK_GRACE_MILLIS - 1;
        handle(new PoolSidecarEvent.Tick());
        assertFalse(starts(RUN, new Demand(1, 1, 0)));
        announce(HALF);
        assertTrue(starts(RUN, HALF));
    }

    @Test
    public void startsNothingOnAStoredCapacityBeforeTheTargetAnnouncesIt() {
        createSidecar();
        handle(new PoolSidecarEvent.TargetLoaded(target(FULL, 0)));
        answerPoll();
        assertFalse(starts(RUN, new Demand(9, 1, 0)), "it may have shrunk since it was stored");
        announce(HALF);
        assertFalse(starts(RUN, new Demand(9, 1, 0)));
        assertTrue(starts(RUN, HALF), "without waiting for another poll");
    }

    @Test
    public void startsNothingBesideARunOfUnknownDemand() {
        start(RUN, new Demand(8, 1, 0));
        answerStart(RUN, StartReply.UNREACHABLE);
        announce(HALF);
        start(OTHER_RUN, new Demand(1, 1, 0));
        answerPoll(new RunSnapshot.Running(RUN.task(), RUN.run()));
        assertEquals(actions(PoolSidecarAction.StopRun.class).size(), 1);
        Run third = new Run("00000000000000cc.0.0.0", 1);
        assertFalse(starts(third, new Demand(7, 1, 0)), "a late start uses capacity unseen");
        mNow += 100;
        handle(new PoolSidecarEvent.Tick());
        answerPoll();
        assertTrue(starts(third, new Demand(7, 1, 0)));
    }

    @Test
    public void doesNotStoreATargetAgainWhenItsCapacityChanges() {
        handle(new PoolSidecarEvent.Tick());
        TargetIncarnation saved = actions(PoolSidecarAction.SaveTarget.class).get(0).target();
        handle(new PoolSidecarEvent.TargetSaved(saved, true));
        announce(HALF);
        mNow += 3_000;
        handle(new PoolSidecarEvent.Tick());
        assertEquals(actions(PoolSidecarAction.SaveTarget.class), List.of());
    }

    private void createSidecar() {
        mActions.clear();
        mLastStartNumber = 0;
        mCore = new PoolSidecarCore(new NodeId("sidecar", mNow), "here", 7, 1_000);
        handle(new PoolSidecarEvent.EntryConnected(ENTRY));
    }

    private static TargetIncarnation target(Demand capacity, long sequence) {
        return new TargetIncarnation(
                "target", 5, sequence, "ledger", "", capacity, List.of(), false, 0);
    }

    private void announce(Demand capacity) {
        mLastSequence++;
        handle(new PoolSidecarEvent.TargetAnnounced(target(capacity, mLastSequence)));
    }

    private void start(Run run, Demand demand) {
        PoolMessage.StartTask task = new PoolMessage.StartTask(run, "queue", "payload", demand);
        mLastStartNumber++;
        handle(
                new PoolSidecarEvent.EntrySent(
                        ENTRY, new PoolMessage.Start(mLastStartNumber, mNow, List.of(task))));
    }

    /** Returns whether the target is ordered to start a run with this demand now. */
    private boolean starts(Run run, Demand demand) {
        actions(PoolSidecarAction.StartRun.class);
        start(run, demand);
        return !actions(PoolSidecarAction.StartRun.class).isEmpty();
    }

    private void answerStart(Run run, StartReply reply) {
        handle(new PoolSidecarEvent.StartAnswered(run, reply));
    }

    private void answerPollAfterEnd(Run run) {
        answerPoll(
                List.of(),
                List.of(new RunSnapshot.Ended(1, run.task(), run.run(), RunSnapshot.Outcome.DONE)));
    }

    private void answerPoll(RunSnapshot.Running... running) {
        answerPoll(List.of(running), List.of());
    }

    private void answerPoll(List<RunSnapshot.Running> running, List<RunSnapshot.Ended> ended) {
        RunSnapshot snapshot = new RunSnapshot(5, 0, running, ended);
        handle(
                new PoolSidecarEvent.PollAnswered(
                        mLastPoll.target(), mLastPoll.number(), new PollReply.Answered(snapshot)));
    }

    private void handle(PoolSidecarEvent event) {
        mCore.handle(event, mNow);
        for (PoolSidecarAction action : mCore.actions()) {
            mActions.add(action);
            if (action instanceof PoolSidecarAction.Poll poll) {
                mLastPoll = poll;
            }
        }
    }

    /** Returns and removes the actions of a type since the last call for it. */
    private <T extends PoolSidecarAction> List<T> actions(Class<T> type) {
        List<T> found = mActions.stream().filter(type::isInstance).map(type::cast).toList();
        mActions.removeAll(found);
        return found;
    }
}
