package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.jackdawsaddle.internal.pool.PoolTiming;
import org.jackdawsaddle.internal.pool.RunEndBounds;
import org.testng.annotations.Test;

/**
 * Guards against a run of an entry that is cut off, or stands still, which outlasts the resend
 * delay because its target confirms no stop.
 */
public class SilentEntryTest extends PoolSidecarCoreTestBase {
    /** The shortest time after which a caller without an answer sends its job again. */
    private static final long RESEND_MILLIS = 1_300;

    private static final long POLL_MILLIS = 50;
    private static final long OBSERVED_MILLIS = 3_000;

    @Test
    public void boundIsBelowTheResendDelay() {
        assertTrue(RunEndBounds.silentEntryMillis() < RESEND_MILLIS);
    }

    @Test
    public void letsTheLeaseExpireInTimeAfterTheEntryWasLastHeard() {
        start(RUN);
        ping(OWNER);
        long heardAt = mNow;
        for (long millis = 0; millis < OBSERVED_MILLIS; millis += POLL_MILLIS) {
            poll();
        }
        long leaseEnd = mLatestLeaseEnd + START_MILLIS + PoolTiming.LEASE_SLACK_MILLIS;
        long bound = RunEndBounds.silentEntryMillis();
        assertTrue(leaseEnd <= heardAt + bound, "ends after " + (leaseEnd - heardAt));
    }

    @Test
    public void renewsTheLeaseAgainOnceTheEntryIsHeard() {
        start(RUN);
        while (mNow <= START_MILLIS + PoolTiming.RENEWAL_SILENCE_MILLIS + POLL_MILLIS) {
            poll();
        }
        ping(OWNER);
        poll();
        assertEquals(mLatestLeaseEnd, mNow - START_MILLIS + PoolTiming.LEASE_MILLIS);
    }

    /** Answers a poll with the run; stops get no answer. */
    private void poll() {
        mNow += POLL_MILLIS;
        handle(new PoolSidecarEvent.StopAnswered(RUN, false));
        tick();
        answerPollAt(mNow - START_MILLIS, TARGET, RUN);
    }
}
