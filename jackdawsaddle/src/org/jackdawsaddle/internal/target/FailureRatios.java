package org.jackdawsaddle.internal.target;

import java.util.HashMap;
import java.util.Map;
import org.jackdawsaddle.NodeId;

/** Moving shares of failures by kind of job and target. */
public final class FailureRatios {
    private static final double SMOOTHING_FACTOR = 0.1;

    private final Map<String, Map<NodeId, Double>> mRatios = new HashMap<>();

    /**
     * Notes how a task ended.
     *
     * @param failed 1 if it failed, else 0
     */
    public void recordOutcome(NodeId target, String kind, double failed) {
        mRatios.computeIfAbsent(kind, name -> new HashMap<>())
                .merge(target, failed, (ratio, next) -> ratio + SMOOTHING_FACTOR * (next - ratio));
    }

    /** Returns the mean share of failures of the kind on the other targets, 0 without any. */
    public double meanRatioElsewhere(NodeId target, String kind) {
        return mRatios.getOrDefault(kind, Map.of()).entrySet().stream()
                .filter(ratio -> !ratio.getKey().equals(target))
                .mapToDouble(Map.Entry::getValue)
                .average()
                .orElse(0);
    }

    /** Forgets what is known of a target. */
    public void remove(NodeId target) {
        mRatios.values().forEach(ratios -> ratios.remove(target));
    }
}
