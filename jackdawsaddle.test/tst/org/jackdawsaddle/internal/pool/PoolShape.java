package org.jackdawsaddle.internal.pool;

import java.util.List;
import org.jackdawsaddle.pool.PoolConfiguration;
import org.jackdawsaddle.pool.PoolQueue;

/**
 * The processes and the configuration of a simulated pool.
 *
 * @param entries the number of entries
 * @param sidecars the number of sidecars, each with a worker
 * @param coresPerWorker the cores of each worker
 * @param speeds the speeds of the workers, in turn
 * @param configuration the configuration in force
 */
record PoolShape(
        int entries,
        int sidecars,
        double coresPerWorker,
        List<Double> speeds,
        PoolConfiguration configuration) {
    /** The service of all workers. */
    static final String SERVICE = "ledger";

    /** The data centres of the sidecars, in turn. */
    private static final List<String> DATA_CENTRES = List.of("west", "north", "east");

    /** Returns a small pool with one queue, "checks". */
    static PoolShape small(int entries, int sidecars) {
        PoolQueue queue = new PoolQueue("checks", "h", "/c/", SERVICE, 0, 3, 1.6, 60, 0);
        return new PoolShape(
                entries,
                sidecars,
                16,
                List.of(1.0, 1.3, 1.6, 1.9, 2.2, 2.5),
                new PoolConfiguration(1, List.of(queue)));
    }

    double speedOf(int sidecar) {
        return speeds.get(sidecar % speeds.size());
    }

    String dataCentreOf(int sidecar) {
        return DATA_CENTRES.get(sidecar % DATA_CENTRES.size());
    }
}
