package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.testng.annotations.Test;

/**
 * Guards against an entry that starts tasks right after a pause although their callers have given
 * up meanwhile and sent the jobs to another entry.
 */
public class PausedEntryTest extends PoolEntryCoreTestBase {
    private static final long WAIT_MILLIS = 1_000;

    @Test
    public void startsNoTaskOfAJobThatExpiredDuringAPause() {
        submit("aa", 1, new Demand(4, 1, 0), WAIT_MILLIS);
        Order order = mOrders.get(0);
        mNow += WAIT_MILLIS + 1;
        report(order, ReportKind.ENDED);
        assertEquals(mOrders.size(), 1);
    }

    @Test
    public void startsNoTaskBeforeItCanKnowWhichCallersHaveLeftDuringAPause() {
        submit("aa", 1, 4);
        Order order = mOrders.get(0);
        mNow += RESEND_MILLIS;
        report(order, ReportKind.ENDED);
        mCore.handle(new PoolEntryEvent.CallerLost(mLastToken), mNow);
        collectActions();
        advance(2 * RESEND_MILLIS);
        assertEquals(mOrders.size(), 1);
    }

    @Test
    public void startsTasksAfterAPauseWhoseCallersStillWait() {
        submit("aa", 1, 4);
        Order order = mOrders.get(0);
        mNow += RESEND_MILLIS;
        report(order, ReportKind.ENDED);
        advance(2 * RESEND_MILLIS);
        assertEquals(mOrders.size(), 2);
    }

    @Test
    public void startsTasksOfJobsThatArriveAfterAPause() {
        mNow += RESEND_MILLIS;
        tick();
        advance(2 * RESEND_MILLIS);
        submit("aa", 1, 4);
        assertEquals(mOrders.size(), 1);
    }

    /** The entry stands still twice and handles a single message between. */
    @Test
    public void startsNoTaskBeforeItCanKnowWhichCallersHaveLeftDuringTwoPauses() {
        submit("aa", 1, 4);
        Order order = mOrders.get(0);
        mNow += RESEND_MILLIS - 100;
        reportRoom(TWO, 16, List.of());
        mNow += RESEND_MILLIS - 100;
        report(order, ReportKind.ENDED);
        mCore.handle(new PoolEntryEvent.CallerLost(mLastToken), mNow);
        collectActions();
        assertEquals(mOrders.size(), 1);
    }
}
