package org.jackdawsaddle.internal.dispatch;

import java.util.Map;
import java.util.TreeMap;
import org.testng.annotations.Test;

/**
 * Runs the decision logic through seeded schedules of faults and checks its invariants throughout.
 *
 * <p>A failure under faults names its seed. The properties walk.seed and walk.schedules set the
 * first seed and the number of schedules; actions that contain a match of the regular expression
 * walk.trace are printed.
 */
public class SimulationTest {
    private static final int SCHEDULES = Integer.getInteger("walk.schedules", 150);
    private static final long FIRST_SEED = Long.getLong("walk.seed", 1);

    @Test
    public void invariantsHoldWithoutFaults() {
        new Simulation(FIRST_SEED, 0).run();
    }

    @Test
    public void invariantsHoldUnderFaults() {
        Map<String, Integer> counts = new TreeMap<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            Simulation simulation = new Simulation(seed, 0.05);
            try {
                simulation.run();
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("Seed " + seed + ": " + e.getMessage(), e);
            }
            simulation.mCallers.mCounts.forEach((what, n) -> counts.merge(what, n, Integer::sum));
        }
        System.out.println("simulation: " + counts);
    }
}
