package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.function.Consumer;
import org.testng.annotations.Test;

/**
 * Checks that no random schedule of faults gives a task two active runs or overloads a worker, and
 * that nearly all jobs succeed without faults. The system properties {@code pool.walk.schedules}
 * and {@code pool.walk.seed} set the number of schedules and the seed of the first one.
 */
public class PoolSimulationTest {
    private static final int SCHEDULES = Integer.getInteger("pool.walk.schedules", 60);
    private static final long FIRST_SEED = Long.getLong("pool.walk.seed", 1);
    private static final long SIMULATED_MILLIS = 30_000;

    /** The share of orders that are late. */
    private static final double MANY_LATE_ORDERS = 0.3;

    @Test
    public void completesNearlyAllJobsWithoutFaults() {
        PoolSimulation simulation = new PoolSimulation(1, PoolShape.small(4, 6));
        simulation.run(SIMULATED_MILLIS, false);
        assertTrue(simulation.jobCount() > 400, "jobs submitted: " + simulation.jobCount());
        assertTrue(
                simulation.succeededJobCount() > simulation.jobCount() - 20,
                simulation.succeededJobCount() + " jobs succeeded of " + simulation.jobCount());
    }

    @Test
    public void neverRunsATaskTwiceOrOverloadsAWorkerUnderRandomFaults() {
        walk(simulation -> {});
    }

    /** A late order grants its lease anew, as if it had been sent when it arrives. */
    @Test
    public void neverRunsATaskTwiceOrOverloadsAWorkerWhileManyOrdersAreLate() {
        walk(simulation -> {
            simulation.mLateOrdersGrantAnew = true;
            simulation.mLateOrderProbability = MANY_LATE_ORDERS;
        });
    }

    /** Plays the schedules of random faults, each on a new pool that is prepared first. */
    private static void walk(Consumer<PoolSimulation> preparation) {
        int failures = 0;
        StringBuilder messages = new StringBuilder();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            PoolSimulation simulation = new PoolSimulation(seed, PoolShape.small(3, 4));
            preparation.accept(simulation);
            try {
                simulation.run(SIMULATED_MILLIS, true);
            } catch (AssertionError e) {
                failures++;
                messages.append("seed ")
                        .append(seed)
                        .append(": ")
                        .append(e.getMessage())
                        .append('\n');
            }
        }
        assertEquals(failures, 0, messages.toString());
    }
}
