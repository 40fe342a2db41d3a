package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jackdawsaddle.pool.PoolConfiguration;
import org.testng.annotations.Test;

/** Callers put the same load on entries of very different size. */
public class HandOverLoadTest {
    private static final long WARM_UP_MILLIS = 3_000;
    private static final long LOAD_MILLIS = 6_000;
    private static final long DRAIN_MILLIS = 10_000;
    private static final double CORES_PER_WORKER = 64;
    private static final int SIDECARS = 20;

    /** The processor time of an event, in milliseconds. */
    private static final double EVENT_MILLIS = 0.55;

    private static final List<Double> PROCESSOR_CORES = List.of(1.5, 0.3, 1.5, 0.3);
    private static final double JOBS_PER_SECOND = 360;
    private static final double MIN_SERVED = 0.95;
    private static final double MIN_IN_TIME = 0.8;

    private static final int SCHEDULES = Integer.getInteger("pool.walk.schedules", 60);
    private static final long FIRST_SEED = 40_000;
    private static final long SIMULATED_MILLIS = 30_000;

    /** So small that the load of the simulation exceeds the share of the first entry. */
    private static final List<Double> TINY_PROCESSOR_CORES = List.of(0.002, 0.02, 0.03);

    @Test
    public void smallEntriesServeTheirCallersInTime() {
        PoolSimulation simulation = pool(PROCESSOR_CORES);
        for (SimulatedEntry entry : simulation.mEntries) {
            entry.mEventCostMillis = EVENT_MILLIS / PROCESSOR_CORES.get(entry.mIndex);
        }
        simulation.runUntil(simulation.mNow + WARM_UP_MILLIS, () -> {});
        SimulatedLoad load = new SimulatedLoad(simulation);
        long end = simulation.mNow + LOAD_MILLIS;
        load.submit(kind(), end);
        simulation.runUntil(end + DRAIN_MILLIS, () -> {});
        String outcomes = load.tallies().toString();
        assertTrue(load.servedShare() >= MIN_SERVED, outcomes);
        assertTrue(load.inTimeShareOfServed() >= MIN_IN_TIME, outcomes);
    }

    /** Entries and sidecars are killed, frozen and cut off at random while jobs are handed over. */
    @Test
    public void neverRunsATaskTwiceUnderRandomFaults() {
        StringBuilder messages = new StringBuilder();
        long handedOver = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            PoolSimulation simulation =
                    new PoolSimulation(
                            seed, PoolShape.small(3, 4).withProcessorCores(TINY_PROCESSOR_CORES));
            try {
                simulation.run(SIMULATED_MILLIS, true);
            } catch (AssertionError e) {
                messages.append("seed " + seed + ": " + e.getMessage() + '\n');
            }
            handedOver += handedOver(simulation);
        }
        assertEquals(messages.toString(), "");
        assertTrue(handedOver > SCHEDULES, "handed over: " + handedOver);
    }

    private static long handedOver(PoolSimulation simulation) {
        return simulation.mEntries.stream()
                .mapToLong(entry -> entry.mCore.counterValue(PoolEntryCounter.JOBS_HANDED_OVER))
                .sum();
    }

    private static PoolSimulation pool(List<Double> processorCores) {
        PoolConfiguration configuration = new PoolConfiguration(1, List.of(kind().queue()));
        PoolShape shape =
                new PoolShape(
                        processorCores.size(),
                        SIDECARS,
                        CORES_PER_WORKER,
                        List.of(1.0),
                        configuration,
                        processorCores);
        return new PoolSimulation(1, shape);
    }

    private static SimulatedJobKind kind() {
        return new SimulatedJobKind("book", 1, 3, 4, 286, 1, JOBS_PER_SECOND);
    }
}
