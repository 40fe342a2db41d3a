package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks, in simulated time, that workers whose capacity halves and returns are never brought over
 * it, that no job fails for it, and that the returned capacity is used again.
 */
public class CapacityChangeSimulationTest {
    private static final int SIDECARS = 6;

    /** With so few sidecars jobs always wait for capacity. */
    private static final int TOO_FEW_SIDECARS = 3;

    private static final double FULL_CORES = 8;
    private static final double HALF_CORES = FULL_CORES / 2;
    private static final long SIMULATED_MILLIS = 40_000;

    /** For so long a worker keeps each of its capacities, in milliseconds. */
    private static final long PHASE_MILLIS = 3_000;

    /** Time until a returned capacity is used: one announcement and some messages. */
    private static final long REUSE_MILLIS = 1_200;

    private PoolSimulation mSimulation;
    private final List<Long> mReuseMillis = new ArrayList<>();

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}};
    }

    @Test(dataProvider = "seeds")
    public void usesNoMoreThanAChangingCapacityAndFailsNoJob(long seed) {
        createPool(seed, SIDECARS);
        changingSidecars().forEach(this::shrink);
        mSimulation.run(SIMULATED_MILLIS, false);
        int jobs = mSimulation.jobCount();
        assertTrue(jobs > 500, "jobs submitted: " + jobs);
        assertEquals(mSimulation.mFailedJobCount, 0);
        assertTrue(
                mSimulation.succeededJobCount() > 0.9 * jobs,
                mSimulation.succeededJobCount() + " jobs succeeded of " + jobs);
    }

    @Test(dataProvider = "seeds")
    public void usesAReturnedCapacitySoonWhileJobsWait(long seed) {
        createPool(seed, TOO_FEW_SIDECARS);
        mSimulation.after(PHASE_MILLIS, () -> changingSidecars().forEach(this::shrink));
        mSimulation.run(SIMULATED_MILLIS, false);
        assertEquals(mSimulation.mFailedJobCount, 0);
        assertTrue(mReuseMillis.size() >= 5, "capacities returned: " + mReuseMillis.size());
        long longest = mReuseMillis.stream().mapToLong(Long::longValue).max().orElseThrow();
        assertTrue(longest <= REUSE_MILLIS, "used again after ms: " + mReuseMillis);
    }

    @Test(dataProvider = "seeds")
    public void usesNoMoreThanACapacityThatShrinksWhileItsSidecarIsDown(long seed) {
        createPool(seed, SIDECARS);
        mSimulation.after(PHASE_MILLIS, () -> changingSidecars().forEach(this::killAndShrink));
        mSimulation.run(SIMULATED_MILLIS, false);
        assertEquals(mSimulation.mFailedJobCount, 0);
    }

    /** Returns a third of the sidecars. */
    private List<SimulatedSidecar> changingSidecars() {
        return mSimulation.mSidecars.subList(0, mSimulation.mSidecars.size() / 3);
    }

    private void createPool(long seed, int sidecars) {
        PoolShape small = PoolShape.small(4, sidecars);
        PoolShape shape =
                new PoolShape(4, sidecars, FULL_CORES, small.speeds(), small.configuration());
        mSimulation = new PoolSimulation(seed, shape);
        mReuseMillis.clear();
    }

    private void shrink(SimulatedSidecar sidecar) {
        sidecar.mWorker.setCores(HALF_CORES, mSimulation.mNow);
        mSimulation.after(PHASE_MILLIS, () -> grow(sidecar));
    }

    private void grow(SimulatedSidecar sidecar) {
        sidecar.mWorker.setCores(FULL_CORES, mSimulation.mNow);
        awaitReuse(sidecar, mSimulation.mNow);
        mSimulation.after(PHASE_MILLIS, () -> shrink(sidecar));
    }

    private void awaitReuse(SimulatedSidecar sidecar, long grownAt) {
        long elapsedMillis = mSimulation.mNow - grownAt;
        if (sidecar.mWorker.usedCores() > HALF_CORES || elapsedMillis > REUSE_MILLIS) {
            mReuseMillis.add(elapsedMillis);
        } else {
            mSimulation.after(10, () -> awaitReuse(sidecar, grownAt));
        }
    }

    private void killAndShrink(SimulatedSidecar sidecar) {
        sidecar.kill();
        sidecar.mWorker.setCores(HALF_CORES, mSimulation.mNow);
        mSimulation.after(
                PHASE_MILLIS,
                () -> {
                    sidecar.mWorker.setCores(FULL_CORES, mSimulation.mNow);
                    mSimulation.after(PHASE_MILLIS, () -> killAndShrink(sidecar));
                });
    }
}
