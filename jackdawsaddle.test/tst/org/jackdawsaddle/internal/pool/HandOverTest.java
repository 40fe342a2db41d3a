package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.EntryLoad;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.pool.PoolAnswer;
import org.jackdawsaddle.pool.PoolJob;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a job that is handed over gets one true answer, whichever entry fails meanwhile. */
public class HandOverTest extends PoolEntryCoreTestBase {
    private static final NodeId LARGER = new NodeId("larger", 1);
    private static final NodeId SMALLER = new NodeId("smaller", 1);

    /** Enough tasks in the first job to exceed the entry's share by far. */
    private static final int MANY_TASKS = 2_000;

    @BeforeMethod
    public void connectToALargerEntry() {
        mCore.handle(new PoolEntryEvent.PeerConnected(LARGER), mNow);
        answer(new PoolMessage.Ping(1, false, 0, new EntryLoad(50, 0)));
        submit("aa", MANY_TASKS, 0.001);
        mNow += 200;
        mAnswers.clear();
        mOrders.clear();
        mSentToPeers.clear();
    }

    /** Delivers a message of the larger entry on the connection that this entry opened. */
    private void answer(PoolMessage message) {
        mCore.handle(new PoolEntryEvent.PeerAnswered(LARGER, message), mNow);
        collectActions();
    }

    private void receive(PoolMessage message) {
        mCore.handle(new PoolEntryEvent.PeerSent(SMALLER, message), mNow);
        collectActions();
    }

    /** Submits a job, which is handed over, and returns the number of the request. */
    private long handOver() {
        submit("bb", 1, 4);
        return sent(PoolMessage.HandOver.class).number();
    }

    /** Returns the only message of a type that was sent to other entries. */
    private <T extends PoolMessage> T sent(Class<T> type) {
        List<PoolMessage> sent = mSentToPeers.stream().filter(type::isInstance).toList();
        assertEquals(sent.size(), 1, mSentToPeers.toString());
        return type.cast(sent.get(0));
    }

    private void takeOver(long number) {
        receive(new PoolMessage.HandOver(number, job("cc", 1, new Demand(4, 1, 0), 0), 3_000));
    }

    @Test
    public void passesOnTheAnswer() {
        long number = handOver();
        assertEquals(mOrders.size(), 0);
        submit("bb", 1, 4);
        answer(new PoolMessage.HandOverAnswer(number, Optional.of(new PoolAnswer.Succeeded())));
        assertEquals(mAnswers.size(), 2, "one for each call");
    }

    @Test
    public void servesADeclinedJobItself() {
        long number = handOver();
        answer(new PoolMessage.HandOverAnswer(number, Optional.empty()));
        assertEquals(mOrders.size(), 1);
    }

    @Test
    public void abandonsTheJobsOfALostReceiver() {
        handOver();
        mCore.handle(new PoolEntryEvent.PeerLost(LARGER), mNow);
        collectActions();
        assertTrue(mAnswers.get(0) instanceof PoolAnswer.Abandoned, "it may have run");
        assertEquals(mOrders.size(), 0);
    }

    @Test
    public void disconnectsFromASilentReceiver() {
        handOver();
        for (long passed = 0; passed <= PoolTiming.HAND_OVER_TIMEOUT_MILLIS; passed += 20) {
            mNow += 20;
            tick();
        }
        assertEquals(mDisconnectedPeers, List.of(LARGER));
    }

    /** What the receiver has sent meanwhile may still wait to be read. */
    @Test
    public void doesNotTakeItsOwnPauseForSilence() {
        handOver();
        tick();
        mNow += PoolTiming.HAND_OVER_TIMEOUT_MILLIS + 50;
        tick();
        assertEquals(mDisconnectedPeers, List.of());
    }

    @Test
    public void tellsTheReceiverThatTheCallerHasLeft() {
        long number = handOver();
        mCore.handle(new PoolEntryEvent.CallerLost(mLastToken), mNow);
        collectActions();
        assertEquals(sent(PoolMessage.HandOverCancellation.class).number(), number);
    }

    @Test
    public void answersTheEntryThatHasHandedOver() {
        takeOver(5);
        assertEquals(mOrders.size(), 1, "not handed over again");
        report(mOrders.get(0), PoolMessage.ReportKind.DONE);
        PoolMessage.HandOverAnswer answer = sent(PoolMessage.HandOverAnswer.class);
        assertEquals(answer.number(), 5);
        assertTrue(answer.answer().orElseThrow() instanceof PoolAnswer.Succeeded);
        assertEquals(mAnswers, List.of());
    }

    @Test
    public void stopsTheJobsOfAClosedConnection() {
        takeOver(5);
        mCore.handle(new PoolEntryEvent.PeerClosed(SMALLER), mNow);
        collectActions();
        assertEquals(mOrderedStops.size(), 1);
    }

    @Test
    public void stopsTheJobsOfASilentEntry() {
        takeOver(5);
        advance(PoolTiming.HAND_OVER_TIMEOUT_MILLIS);
        assertEquals(mCore.counterValue(PoolEntryCounter.JOBS_ABANDONED), 0);
        advance(PoolTiming.HEARTBEAT_INTERVAL_MILLIS);
        assertEquals(mCore.counterValue(PoolEntryCounter.JOBS_ABANDONED), 1);
    }

    @Test
    public void stopsAJobWhoseCallerHasLeft() {
        takeOver(5);
        receive(new PoolMessage.HandOverCancellation(5));
        assertEquals(mOrderedStops.size(), 1);
    }

    /** The other entry may have a newer configuration. */
    @Test
    public void declinesJobsOfAQueueThatItDoesNotKnow() {
        PoolJob job = job("cc", 1, new Demand(4, 1, 0), 0);
        PoolJob unknown = new PoolJob("cc", "new", job.payload(), job.steps(), 0);
        receive(new PoolMessage.HandOver(5, unknown, 3_000));
        assertTrue(sent(PoolMessage.HandOverAnswer.class).answer().isEmpty());
    }

    /** Runs of the earlier request may still be active. */
    @Test
    public void keepsAJobWhoseRunsItIsStopping() {
        takeOver(5);
        receive(new PoolMessage.HandOverCancellation(5));
        mSentToPeers.clear();
        submit("cc", 1, 4);
        assertEquals(mSentToPeers, List.of());
    }

    @Test
    public void declinesJobsWhileItStops() {
        mCore.handle(new PoolEntryEvent.LeaveRequested(mNow + 5_000), mNow);
        takeOver(5);
        assertTrue(sent(PoolMessage.HandOverAnswer.class).answer().isEmpty());
    }
}
