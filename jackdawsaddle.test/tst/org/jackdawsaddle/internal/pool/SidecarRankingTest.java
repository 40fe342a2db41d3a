package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.testng.annotations.Test;

/** Tests that the subsets of all entries together use the sidecars evenly. */
public class SidecarRankingTest {
    private static final int ENTRIES = 15;
    private static final int SIDECARS = 80;
    private static final int USED = 12;
    private static final int MEAN_USERS = ENTRIES * USED / SIDECARS;
    private static final int MAX_USERS = 3 * (MEAN_USERS + 1);

    @Test
    public void entriesUseDifferentSidecarsAboutEquallyOften() {
        List<SidecarView> sidecars = sidecars();
        List<String> entries = new ArrayList<>();
        for (int entry = 0; entry < ENTRIES; entry++) {
            entries.add("entry-" + entry);
        }
        Map<SidecarView, Integer> users = new HashMap<>();
        Set<List<SidecarView>> subsets = new HashSet<>();
        for (String entry : entries) {
            List<String> others = new ArrayList<>(entries);
            others.remove(entry);
            List<SidecarView> subset =
                    new SidecarRanking(entry).rank(sidecars, others).subList(0, USED);
            subset.forEach(sidecar -> users.merge(sidecar, 1, Integer::sum));
            subsets.add(subset);
        }
        assertEquals(subsets.size(), ENTRIES);
        assertTrue(users.values().stream().allMatch(count -> count <= MAX_USERS), "" + users);
        assertTrue(users.size() >= SIDECARS * 3 / 4, "used sidecars: " + users.size());
    }

    @Test
    public void ranksAllSidecarsOnceAndAlwaysAlike() {
        List<SidecarView> sidecars = sidecars();
        List<SidecarView> ranked = new SidecarRanking("a").rank(sidecars, List.of("b", "c"));
        assertEquals(new HashSet<>(ranked), new HashSet<>(sidecars));
        assertEquals(ranked.size(), SIDECARS);
        assertEquals(new SidecarRanking("a").rank(sidecars, List.of("c", "b")), ranked);
    }

    private static List<SidecarView> sidecars() {
        List<SidecarView> sidecars = new ArrayList<>();
        for (int index = 0; index < SIDECARS; index++) {
            sidecars.add(
                    new SidecarView(
                            new PoolMessage.Hello(
                                    new NodeId("side-" + index, 1),
                                    "here",
                                    "target-" + index,
                                    "ledger",
                                    Demand.NONE,
                                    List.of(),
                                    0,
                                    0)));
        }
        return sidecars;
    }
}
