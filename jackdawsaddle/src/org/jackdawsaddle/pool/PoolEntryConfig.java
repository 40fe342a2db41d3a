package org.jackdawsaddle.pool;

import java.util.List;

/**
 * The settings of a pool entry.
 *
 * @param name the name of this instance, unique among entries
 * @param address where sidecars and other entries connect, as host:port
 * @param seeds addresses of some entries, as host:port; they may be down
 * @param leaseMillis the longest lease that targets grant, in milliseconds
 * @param resendMillis how long a caller without an answer waits before it sends its job again, in
 *     milliseconds
 */
public record PoolEntryConfig(
        String name, String address, List<String> seeds, long leaseMillis, long resendMillis) {

    /** Takes an unmodifiable copy of the list. */
    public PoolEntryConfig {
        seeds = List.copyOf(seeds);
    }
}
