package org.jackdawsaddle.pool;

import java.util.List;

/**
 * The settings of a pool sidecar.
 *
 * @param name the name of the instance that the sidecar runs on
 * @param dataCentre the data centre of the instance
 * @param seeds addresses of some entries, as host:port; they may be down
 * @param leaseMillis the longest lease that its target grants, in milliseconds
 */
public record PoolSidecarConfig(
        String name, String dataCentre, List<String> seeds, long leaseMillis) {

    /** Takes an unmodifiable copy of the list. */
    public PoolSidecarConfig {
        seeds = List.copyOf(seeds);
    }
}
