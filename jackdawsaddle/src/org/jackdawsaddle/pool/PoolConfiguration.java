package org.jackdawsaddle.pool;

import java.util.List;
import java.util.Optional;

/**
 * One version of the configuration of a pool.
 *
 * @param version rises with each change; 0 before the first configuration
 * @param queues the queues that accept jobs
 */
public record PoolConfiguration(long version, List<PoolQueue> queues) {
    /** The configuration before the first one is read. */
    public static final PoolConfiguration NONE = new PoolConfiguration(0, List.of());

    /** Takes an unmodifiable copy of the list. */
    public PoolConfiguration {
        queues = List.copyOf(queues);
    }

    /**
     * Returns the queue of a host that has the longest prefix with which the path starts; empty if
     * there is none.
     */
    public Optional<PoolQueue> route(String host, String path) {
        PoolQueue best = null;
        for (PoolQueue queue : queues) {
            boolean matches = queue.host().equals(host) && path.startsWith(queue.prefix());
            if (matches && (best == null || queue.prefix().length() > best.prefix().length())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the queue with the given name; empty if there is none. */
    public Optional<PoolQueue> queue(String name) {
        return queues.stream().filter(queue -> queue.name().equals(name)).findFirst();
    }
}
