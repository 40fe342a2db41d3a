package org.jackdawsaddle.pool;

import java.util.List;

/**
 * The settings of a {@link org.jackdawsaddle.PoolEntryService}.
 *
 * @param name the name of the instance that the entry runs on, unique among entries
 * @param address the peer address of this entry, where sidecars and other entries connect, as
 *     host:port
 * @param seeds the peer addresses of some entries of the pool, as host:port; they may be down
 * @param leaseMillis the longest lease that targets grant on their runs, in milliseconds: a target
 *     stops its runs if its sidecar has not renewed the lease for so long
 * @param resendMillis how long a caller without an answer waits before it sends its job again, in
 *     milliseconds
 * @param processorCores the processor cores that the entry may use; 0 if unknown, and no job is
 *     then handed over to a larger entry
 */
public record PoolEntryConfig(
        String name,
        String address,
        List<String> seeds,
        long leaseMillis,
        long resendMillis,
        double processorCores) {

    /** Takes an unmodifiable copy of the list. */
    public PoolEntryConfig {
        seeds = List.copyOf(seeds);
    }
}
