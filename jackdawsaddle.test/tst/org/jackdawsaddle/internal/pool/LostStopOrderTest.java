package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * Plays a sidecar that is cut off from an entry while none of its stop orders reaches its worker,
 * but all polls do: the runs go on under the lease that the polls renew.
 */
public class LostStopOrderTest {
    private static final long CALM_MILLIS = 5_000;
    private static final long CUT_MILLIS = 3_500;
    private static final int TASK_RANGE_MILLIS = 2_800;
    private static final int PLAYS = 60;

    @Test
    public void runsNoTaskTwiceWhileStopOrdersOfACutOffSidecarAreLost() {
        for (int seed = 1; seed <= PLAYS; seed++) {
            PoolSimulation simulation = new PoolSimulation(seed, PoolShape.small(3, 4));
            simulation.mTaskRangeMillis = TASK_RANGE_MILLIS;
            simulation.run(CALM_MILLIS, false);
            simulation.partition(simulation.mLinksToSidecar[0][0], CUT_MILLIS);
            simulation.partition(simulation.mLinksToEntry[0][0], CUT_MILLIS);
            simulation.mSidecars.get(0).mStopsLostUntil = simulation.mNow + CUT_MILLIS;
            simulation.run(CALM_MILLIS, false);
            assertTrue(simulation.succeededJobCount() > 0);
        }
    }
}
