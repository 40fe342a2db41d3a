package org.jackdawsaddle.internal.pool;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Ranks the sidecars of a service for one entry so that, if every entry uses the first ones of its
 * own ranking, each sidecar is used by about equally many entries, and any two entries share few.
 *
 * <p>The sidecars are put on several rings, each in another pseudo-random order. On each ring the
 * entries stand at equal distances, in the order of their names; a sidecar ranks by its distance
 * from the entry on the ring where that is least. Entries that know different members of the pool
 * rank differently, which only makes the use less even.
 */
final class SidecarRanking {
    private static final int RINGS = 4;

    private record RingPosition(SidecarView sidecar, int hash) {}

    private static final Comparator<RingPosition> RING_ORDER =
            Comparator.comparingInt(RingPosition::hash)
                    .thenComparing(position -> position.sidecar().node().name());

    private final String mEntry;

    /**
     * Creates a ranking for an entry.
     *
     * @param entry the name of the entry
     */
    SidecarRanking(String entry) {
        mEntry = entry;
    }

    /**
     * Returns the sidecars in the order in which the entry should use them.
     *
     * @param otherEntries the names of the other entries
     */
    List<SidecarView> rank(Collection<SidecarView> sidecars, Collection<String> otherEntries) {
        SortedSet<String> entries = new TreeSet<>(otherEntries);
        entries.add(mEntry);
        int start = sidecars.size() * entries.headSet(mEntry).size() / entries.size();
        Map<SidecarView, Integer> distances = new HashMap<>();
        for (int ring = 0; ring < RINGS; ring++) {
            List<SidecarView> order = ringOrder(sidecars, ring);
            for (int position = 0; position < order.size(); position++) {
                int distance = Math.floorMod(position - start, order.size());
                distances.merge(order.get(position), distance, Math::min);
            }
        }
        return sidecars.stream()
                .sorted(
                        Comparator.<SidecarView>comparingInt(distances::get)
                                .thenComparing(sidecar -> sidecar.node().name()))
                .toList();
    }

    private static List<SidecarView> ringOrder(Collection<SidecarView> sidecars, int ring) {
        return sidecars.stream()
                .map(sidecar -> new RingPosition(sidecar, ringHash(sidecar.node().name(), ring)))
                .sorted(RING_ORDER)
                .map(RingPosition::sidecar)
                .toList();
    }

    private static int ringHash(String name, int ring) {
        return MixedHash.of(name + '/' + ring);
    }
}
