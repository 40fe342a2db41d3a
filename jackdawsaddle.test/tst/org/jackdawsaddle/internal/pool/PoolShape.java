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
 * @param processorCores the processor cores of the entries, in turn; 0 for unknown
 */
record PoolShape(
        int entries,
        int sidecars,
        double coresPerWorker,
        List<Double> speeds,
        PoolConfiguration configuration,
        List<Double> processorCores) {
    /** The service of all workers. */
    static final String SERVICE = "ledger";

    /** Creates a pool whose entries do not know their size. */
    PoolShape(
            int entries,
            int sidecars,
            double coresPerWorker,
            List<Double> speeds,
            PoolConfiguration configuration) {
        this(entries, sidecars, coresPerWorker, speeds, configuration, List.of(0.0));
    }

    /** Returns the same pool with entries of these sizes. */
    PoolShape withProcessorCores(List<Double> cores) {
        return new PoolShape(entries, sidecars, coresPerWorker, speeds, configuration, cores);
    }

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

    double processorCoresOf(int entry) {
        return processorCores.get(entry % processorCores.size());
    }

    double speedOf(int sidecar) {
        return speeds.get(sidecar % speeds.size());
    }

    String dataCentreOf(int sidecar) {
        return DATA_CENTRES.get(sidecar % DATA_CENTRES.size());
    }
}
