package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jackdawsaddle.pool.PoolConfiguration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays loads of the users' kinds of jobs on pools of several sizes, in simulated time. */
public class PoolLoadTest {
    private static final long SEED = Long.getLong("pool.load.seed", 1);
    private static final long WARM_UP_MILLIS = 3_000;
    private static final long LOAD_MILLIS = 6_000;

    /** The share of the cores that the users' quiet days need. */
    private static final double MODERATE_UTILIZATION = 0.65;

    private static final double CORES_PER_WORKER = 64;
    private static final List<Double> SPEEDS = List.of(0.6, 1.0, 1.6);

    private static final double LOW_UTILIZATION = 0.45;

    /** How long a process that gets little processor time takes for an event. */
    private static final double SLOW_EVENT_MILLIS = 1.5;

    /** Each worker with an index that is a multiple of this turns slow. */
    private static final int SLOW_WORKER_PERIOD = 5;

    /** How many times slower these workers become. */
    private static final double SLOWDOWN = 6;

    /** The capacity that is left is enough for all jobs. */
    private static final double MIN_SERVED_WITH_SLOW_WORKERS = 0.95;

    /** A tenth may be late while the new speeds are learned. */
    private static final double MIN_IN_TIME_WITH_SLOW_WORKERS = 0.9;

    /** How long the last jobs of a load may take. */
    private static final long DRAIN_MILLIS = 10_000;

    /** The share of the cores at speed 1 whose work must be served under overload. */
    private static final double MIN_CAPACITY_USED = 0.95;

    private static final double MIN_IN_TIME_OF_SERVED = 0.8;
    private static final double MAX_ABANDONED = 0.01;
    private static final long MAX_MEDIAN_REFUSAL_MILLIS = 500;

    /** How many messages a task may cost on a large pool, as a multiple of those on a small one. */
    private static final double MAX_MESSAGE_GROWTH = 1.3;

    /** The messages of a task must not grow with the number of entries and sidecars. */
    @Test
    public void messagesPerTaskHardlyGrowWithThePool() {
        double small = messagesPerTask(4, 11);
        assertTrue(messagesPerTask(9, 58) <= MAX_MESSAGE_GROWTH * small);
        assertTrue(messagesPerTask(15, 80) <= MAX_MESSAGE_GROWTH * small);
    }

    private static double messagesPerTask(int entries, int sidecars) {
        PoolSimulation simulation = pool(entries, sidecars);
        simulation.runUntil(simulation.mNow + WARM_UP_MILLIS, () -> {});
        simulation.mMessageCounts.clear();
        SimulatedLoad load = submit(simulation, MODERATE_UTILIZATION, LOAD_MILLIS);
        simulation.runUntil(simulation.mNow + LOAD_MILLIS, () -> {});
        return messagesPerTask(simulation, load);
    }

    @DataProvider
    public Object[][] overloads() {
        return new Object[][] {{1.1}, {1.4}, {2.0}};
    }

    /**
     * Steady load beyond capacity: what can be served is served, mostly in time, and the rest is
     * refused soon and not held until its caller stops waiting.
     *
     * @param utilization the load as a share of the cores at speed 1
     */
    @Test(dataProvider = "overloads")
    public void servesInTimeWhatItCanAndRefusesTheRestUnderOverload(double utilization) {
        PoolSimulation simulation = pool(9, 40);
        simulation.runUntil(simulation.mNow + WARM_UP_MILLIS, () -> {});
        SimulatedLoad load = submit(simulation, utilization, LOAD_MILLIS);
        simulation.runUntil(simulation.mNow + LOAD_MILLIS + DRAIN_MILLIS, () -> {});
        String outcomes = load.tallies().toString();
        assertTrue(load.servedWorkShare() >= MIN_CAPACITY_USED / utilization, outcomes);
        assertTrue(load.inTimeShareOfServed() >= MIN_IN_TIME_OF_SERVED, outcomes);
        assertTrue(load.share(SimulatedLoad.Outcome.ABANDONED) <= MAX_ABANDONED, outcomes);
        assertTrue(load.medianRefusalMillis() <= MAX_MEDIAN_REFUSAL_MILLIS, outcomes);
    }

    /** A fifth of the workers turn several times slower: they soon get only what fits them. */
    @Test
    public void avoidsWorkersThatTurnSlow() {
        PoolSimulation simulation = pool(9, 40);
        simulation.runUntil(simulation.mNow + WARM_UP_MILLIS, () -> {});
        long turnSlowAt = simulation.mNow + LOAD_MILLIS;
        submit(simulation, MODERATE_UTILIZATION, LOAD_MILLIS);
        simulation.runUntil(turnSlowAt, () -> {});
        for (SimulatedSidecar sidecar : simulation.mSidecars) {
            if (sidecar.mIndex % SLOW_WORKER_PERIOD == 0) {
                double speed = simulation.mShape.speedOf(sidecar.mIndex);
                sidecar.mWorker.setSpeed(speed / SLOWDOWN);
            }
        }
        SimulatedLoad load = submit(simulation, MODERATE_UTILIZATION, LOAD_MILLIS);
        simulation.runUntil(turnSlowAt + LOAD_MILLIS + DRAIN_MILLIS, () -> {});
        String outcomes = load.tallies().toString();
        assertTrue(load.servedShare() >= MIN_SERVED_WITH_SLOW_WORKERS, outcomes);
        assertTrue(load.inTimeShareOfServed() >= MIN_IN_TIME_WITH_SLOW_WORKERS, outcomes);
    }

    /** Processes that are slow at each event: jobs wait in them, which is no sign of overload. */
    @Test
    public void refusesNothingAtModerateLoadOnSlowProcesses() {
        PoolSimulation simulation = pool(6, 18);
        simulation.mEventCostMillis = SLOW_EVENT_MILLIS;
        simulation.runUntil(simulation.mNow + WARM_UP_MILLIS, () -> {});
        SimulatedLoad load = submit(simulation, LOW_UTILIZATION, LOAD_MILLIS);
        simulation.runUntil(simulation.mNow + LOAD_MILLIS + DRAIN_MILLIS, () -> {});
        String outcomes = load.tallies().toString();
        assertEquals(load.share(SimulatedLoad.Outcome.REFUSED), 0.0, outcomes);
        assertTrue(load.inTimeShareOfServed() >= MIN_IN_TIME_OF_SERVED, outcomes);
    }

    private static double messagesPerTask(PoolSimulation simulation, SimulatedLoad load) {
        long messages = simulation.mMessageCounts.values().stream().mapToLong(n -> n).sum();
        return (double) messages / load.taskCount();
    }

    private static PoolSimulation pool(int entries, int sidecars) {
        return new PoolSimulation(
                SEED,
                new PoolShape(
                        entries,
                        sidecars,
                        CORES_PER_WORKER,
                        SPEEDS,
                        new PoolConfiguration(
                                1,
                                kinds(sidecars, 1).stream()
                                        .map(SimulatedJobKind::queue)
                                        .toList())));
    }

    /** Submits jobs from now on for a while. */
    private static SimulatedLoad submit(
            PoolSimulation simulation, double utilization, long millis) {
        SimulatedLoad load = new SimulatedLoad(simulation);
        long end = simulation.mNow + millis;
        kinds(simulation.mShape.sidecars(), utilization).forEach(kind -> load.submit(kind, end));
        return load;
    }

    /** Returns the kinds of jobs at rates that use a share of the cores at speed 1. */
    private static List<SimulatedJobKind> kinds(int sidecars, double utilization) {
        double scale = sidecars * CORES_PER_WORKER * utilization / 3_565;
        return List.of(
                new SimulatedJobKind("check", 0, 3, 8, 85.7, 5, 216 * scale),
                new SimulatedJobKind("pedigree", 2, 2, 4, 1_286, 5, 39.4 * scale),
                new SimulatedJobKind("book", 1, 3, 2, 286, 5, 630 * scale));
    }
}
