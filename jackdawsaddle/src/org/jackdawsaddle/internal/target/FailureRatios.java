package org.jackdawsaddle.internal.target;

import java.util.HashMap;
import java.util.Map;
import org.jackdawsaddle.NodeId;

/**
 * Exponential moving averages of the failure ratio of tasks, by target and job kind; in a pool, the
 * queue takes the place of the kind. A target is identified by its sidecar.
 *
 * <p>They show whether a kind fails everywhere or on one target only. Not thread-safe.
 */
public final class FailureRatios {
    private static final double SMOOTHING_FACTOR = 0.1;

    private final Map<String, Map<NodeId, Double>> mRatios = new HashMap<>();

    /**
     * Records the outcome of a task.
     *
     * @param kind the job kind of the task
     * @param failed 1 if the task failed, 0 if it completed
     */
    public void recordOutcome(NodeId target, String kind, double failed) {
        mRatios.computeIfAbsent(kind, name -> new HashMap<>())
                .merge(target, failed, (ratio, next) -> ratio + SMOOTHING_FACTOR * (next - ratio));
    }

    /** Returns the mean of the kind's failure ratios on other targets, or 0 if none has run it. */
    public double meanRatioElsewhere(NodeId target, String kind) {
        return mRatios.getOrDefault(kind, Map.of()).entrySet().stream()
                .filter(ratio -> !ratio.getKey().equals(target))
                .mapToDouble(Map.Entry::getValue)
                .average()
                .orElse(0);
    }

    /** Removes all ratios of a target. */
    public void remove(NodeId target) {
        mRatios.values().forEach(ratios -> ratios.remove(target));
    }
}
