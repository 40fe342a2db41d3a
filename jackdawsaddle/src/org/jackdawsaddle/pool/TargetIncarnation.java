package org.jackdawsaddle.pool;

import java.util.List;
import org.jackdawsaddle.config.Demand;

/**
 * One life of a target as it announces itself to its sidecar.
 *
 * @param id the name of the target
 * @param startedAt tells the lives of one target apart, in milliseconds since the epoch
 * @param sequence rises with each announcement of the life
 * @param service the service that it belongs to
 * @param address where it takes orders, as host:port
 * @param capacity what its tasks may use together
 * @param labels its kind and its rack
 * @param leaving whether it takes no new work
 * @param clock the reading of its own steady clock, in milliseconds
 */
public record TargetIncarnation(
        String id,
        long startedAt,
        long sequence,
        String service,
        String address,
        Demand capacity,
        List<String> labels,
        boolean leaving,
        long clock) {

    /** Copies the list. */
    public TargetIncarnation {
        labels = List.copyOf(labels);
    }

    /** Returns this life as if it had not announced itself yet, so that any announcement counts. */
    public TargetIncarnation withSequenceReset() {
        return new TargetIncarnation(
                id, startedAt, 0, service, address, capacity, labels, false, clock);
    }

    /** Returns whether both are announcements of the same life. */
    public boolean sameIncarnation(TargetIncarnation other) {
        return id.equals(other.id) && startedAt == other.startedAt;
    }
}
