package org.jackdawsaddle.pool;

import java.util.List;
import org.jackdawsaddle.config.Demand;

/**
 * One incarnation of a target, as described by its latest announcement.
 *
 * @param id the name of the target
 * @param startedAt when the incarnation started, in milliseconds since the epoch; identifies it
 *     among those of the target; 0 if the target does not tell
 * @param sequence rises with each announcement of the incarnation
 * @param service the service that the target belongs to
 * @param address where the target accepts orders, as host:port
 * @param capacity the resources that its tasks may use together
 * @param labels the target's kind and rack
 * @param leaving whether the target accepts no new tasks
 * @param clock the reading of the target's monotonic clock at the announcement, in milliseconds
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

    /** Takes an unmodifiable copy of the list. */
    public TargetIncarnation {
        labels = List.copyOf(labels);
    }

    /**
     * Returns a copy that is not leaving and has sequence 0, so that any announcement of this
     * incarnation supersedes it.
     */
    public TargetIncarnation withSequenceReset() {
        return new TargetIncarnation(
                id, startedAt, 0, service, address, capacity, labels, false, clock);
    }

    /**
     * Returns the incarnation that has started since under the same name and has not announced
     * itself; the rest of the description is that of this one.
     *
     * @param restartedAt when it started, in milliseconds since the epoch
     * @param restartedClock a reading of its clock, in milliseconds
     */
    public TargetIncarnation restartedAt(long restartedAt, long restartedClock) {
        return new TargetIncarnation(
                id, restartedAt, 0, service, address, capacity, labels, false, restartedClock);
    }

    /**
     * Returns whether both describe the same incarnation in the same way, as far as the placement
     * of tasks depends on it.
     */
    public boolean sameDescription(TargetIncarnation other) {
        return sameIncarnation(other)
                && service.equals(other.service)
                && capacity.equals(other.capacity)
                && labels.equals(other.labels);
    }

    /** Returns whether both describe the same incarnation. */
    public boolean sameIncarnation(TargetIncarnation other) {
        return id.equals(other.id) && startedAt == other.startedAt;
    }
}
