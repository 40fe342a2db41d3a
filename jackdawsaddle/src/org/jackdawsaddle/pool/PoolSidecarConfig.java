package org.jackdawsaddle.pool;

import java.util.List;

/**
 * The settings of a {@link org.jackdawsaddle.PoolSidecarService}.
 *
 * @param name the name of the instance that the sidecar runs on
 * @param dataCentre the data centre of the instance
 * @param seeds the peer addresses of some entries of the pool, as host:port; they may be down
 * @param leaseMillis the longest lease that its target grants on its runs, in milliseconds: the
 *     target stops them if the sidecar has not renewed the lease for so long
 */
public record PoolSidecarConfig(
        String name, String dataCentre, List<String> seeds, long leaseMillis) {

    /** Takes an unmodifiable copy of the list. */
    public PoolSidecarConfig {
        seeds = List.copyOf(seeds);
    }
}
