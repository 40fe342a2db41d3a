package org.jackdawsaddle.internal.dispatch;

import java.util.Map;
import java.util.TreeMap;
import org.testng.annotations.Test;

/** Walks the decisions through seeded schedules of faults and checks the promises throughout. */
public class WalkTest {
    private static final int SCHEDULES = Integer.getInteger("walk.schedules", 150);
    private static final long FIRST_SEED = Long.getLong("walk.seed", 1);

    @Test
    public void promisesHoldWithoutFaults() {
        new Walk(FIRST_SEED, 0).run();
    }

    @Test
    public void promisesHoldUnderFaults() {
        Map<String, Integer> counts = new TreeMap<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            Walk walk = new Walk(seed, 0.05);
            try {
                walk.run();
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("Seed " + seed + ": " + e.getMessage(), e);
            }
            walk.mCallers.mCounts.forEach((what, n) -> counts.merge(what, n, Integer::sum));
        }
        System.out.println("walk: " + counts);
    }
}
