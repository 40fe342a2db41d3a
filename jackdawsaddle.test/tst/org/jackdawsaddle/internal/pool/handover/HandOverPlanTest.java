package org.jackdawsaddle.internal.pool.handover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.EntryLoad;
import org.testng.annotations.Test;

/** Tests which share of its jobs an entry hands over, and to whom. */
public class HandOverPlanTest {
    private static final NodeId LARGE = new NodeId("large", 1);
    private static final NodeId LARGER = new NodeId("larger", 1);
    private static final EntryLoad SMALL_BUSY = new EntryLoad(0.25, 500);
    private static final int JOBS = 2_000;

    @Test
    public void handsOverWhatExceedsItsShare() {
        HandOverPlan plan = HandOverPlan.of(SMALL_BUSY, Map.of(LARGE, new EntryLoad(1.5, 200)));
        assertEquals(plan.share(), 0.75, 0.001, "keeps 1.25 times 700 / 1.75, a quarter of it");
    }

    @Test
    public void dividesAmongReceiversByWhatTheyLack() {
        HandOverPlan plan =
                HandOverPlan.of(
                        SMALL_BUSY,
                        Map.of(
                                LARGE, new EntryLoad(0.5, 100),
                                LARGER, new EntryLoad(1.0, 100)));
        Map<NodeId, Integer> counts = new HashMap<>();
        for (int job = 0; job < JOBS; job++) {
            plan.receiverOf("job-" + job).ifPresent(entry -> counts.merge(entry, 1, Integer::sum));
        }
        double ratio = (double) counts.get(LARGER) / counts.get(LARGE);
        assertTrue(ratio > 2 && ratio < 3.5, "by their room, 400 to 150: " + counts);
    }

    @Test
    public void keepsEverythingAtLowLoad() {
        HandOverPlan plan =
                HandOverPlan.of(new EntryLoad(0.25, 90), Map.of(LARGE, new EntryLoad(1.5, 10)));
        assertEquals(plan.share(), 0.0);
    }

    @Test
    public void handsNothingToEntriesOfItsOwnSizeOrOfUnknownSize() {
        HandOverPlan plan =
                HandOverPlan.of(
                        new EntryLoad(0.75, 900),
                        Map.of(
                                LARGE, new EntryLoad(0.75, 0),
                                LARGER, new EntryLoad(0, 0)));
        assertEquals(plan.receiverOf("job"), Optional.empty());
    }

    @Test
    public void handsNothingToFullEntries() {
        HandOverPlan plan = HandOverPlan.of(SMALL_BUSY, Map.of(LARGE, new EntryLoad(1.0, 3_000)));
        assertEquals(plan.share(), 0.0);
    }
}
