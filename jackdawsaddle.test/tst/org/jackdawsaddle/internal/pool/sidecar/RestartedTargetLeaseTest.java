package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.jackdawsaddle.pool.TargetGateway.PollReply;
import org.jackdawsaddle.pool.TargetIncarnation;
import org.testng.annotations.Test;

/**
 * Guards against runs that count as ended while they hold the lease that a restarted target has
 * granted on a request by the clock of its previous incarnation.
 */
public class RestartedTargetLeaseTest extends PoolSidecarCoreTestBase {
    private static final long OLD_CLOCK_MILLIS = 500_000;
    private static final long NEW_CLOCK_MILLIS = 10;
    private static final long POLL_MILLIS = 130;
    private static final TargetIncarnation RESTARTED = TARGET.restartedAt(9, NEW_CLOCK_MILLIS);

    /**
     * The new incarnation grants the longest lease, as its clock is far behind the requested end.
     */
    @Test
    public void keepsTheRunsUntilTheLongestLeaseIsOver() {
        answerPollAt(OLD_CLOCK_MILLIS, TARGET);
        start(RUN);
        long grantedAt = mNow;
        answerPollAt(NEW_CLOCK_MILLIS, RESTARTED, RUN);
        while (mNow + POLL_MILLIS < grantedAt + LEASE_MILLIS) {
            mNow += POLL_MILLIS;
            reply(new PollReply.Unanswered());
            ping(OWNER);
            assertEquals(reports(OWNER), List.of(), "after " + (mNow - grantedAt) + " ms");
            tick();
        }
    }
}
