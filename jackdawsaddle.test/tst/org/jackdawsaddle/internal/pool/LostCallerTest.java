package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.pool.PoolAnswer;
import org.testng.annotations.Test;

/**
 * Guards against runs that go on for a caller that has left and may send its job again elsewhere.
 */
public class LostCallerTest extends PoolEntryCoreTestBase {
    @Test
    public void stopsTheRunsOfAJobWhoseCallerHasLeft() {
        submit("aa", 2, 4);
        loseCaller(mLastToken);
        assertEquals(mOrderedStops, mOrders.stream().map(Order::run).toList());
        assertTrue(mAnswers.get(0) instanceof PoolAnswer.Abandoned);
    }

    @Test
    public void startsNothingForACallerThatHasLeftBeforeItsRequestWasRead() {
        mCore.handle(
                new PoolEntryEvent.JobSubmitted(1, job("aa", 2, new Demand(4, 1, 0), 1_000)), mNow);
        loseCaller(1);
        advance(PoolTiming.HEARTBEAT_INTERVAL_MILLIS);
        assertEquals(mOrders, List.of());
        assertEquals(mAnswers.size(), 1);
    }

    @Test
    public void dropsAWaitingJobWhoseCallerHasLeft() {
        submit("aa", 4, 8);
        submit("bb", 1, 4);
        loseCaller(mLastToken);
        assertEquals(mAnswers.size(), 1, "of the waiting job, for which there was no room");
        assertEquals(mOrderedStops, List.of());
    }

    @Test
    public void goesOnWhileAnotherCallerWaitsForTheSameJob() {
        submit("aa", 1, 4);
        submit("aa", 1, 4);
        loseCaller(mLastToken);
        assertEquals(mOrderedStops, List.of());
        assertEquals(mAnswers.size(), 1);
        report(mOrders.get(0), ReportKind.DONE);
        assertEquals(mAnswers.get(1), new PoolAnswer.Succeeded());
    }

    @Test
    public void ignoresACallerThatLeavesAfterItsAnswer() {
        submit("aa", 1, 4);
        report(mOrders.get(0), ReportKind.DONE);
        loseCaller(mLastToken);
        assertEquals(mAnswers, List.of(new PoolAnswer.Succeeded()));
    }

    private void loseCaller(long token) {
        mCore.handle(new PoolEntryEvent.CallerLost(token), mNow);
        collectActions();
    }
}
