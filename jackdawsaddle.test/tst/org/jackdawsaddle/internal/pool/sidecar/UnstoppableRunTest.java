package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertTrue;

import org.jackdawsaddle.internal.pool.PoolTiming;
import org.testng.annotations.Test;

/**
 * Guards against runs of a lost entry that go on because their stop is not confirmed, while the
 * entry takes them for ended after {@link PoolTiming#goneAfterMillis}.
 */
public class UnstoppableRunTest extends PoolSidecarCoreTestBase {
    private static final long POLL_MILLIS = 50;

    @Test
    public void renewsNoLeaseOfALostEntryWhoseRunIsNotStopped() {
        start(RUN);
        handle(new PoolSidecarEvent.EntryLost(OWNER));
        long lostAt = mNow;
        long goneAt = lostAt + PoolTiming.RECONNECT_TIMEOUT_MILLIS + PoolTiming.LEASE_MILLIS;
        while (mNow < goneAt + PoolTiming.LEASE_SLACK_MILLIS) {
            mNow += POLL_MILLIS;
            handle(new PoolSidecarEvent.StopAnswered(RUN, false));
            tick();
            answerPollAt(mNow - START_MILLIS, TARGET, RUN);
        }
        assertTrue(
                mLatestLeaseEnd <= goneAt - START_MILLIS,
                "leased until " + (mLatestLeaseEnd + START_MILLIS - lostAt) + " ms after the loss");
    }
}
