package org.jackdawsaddle.internal.target;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how fast each target is and how far the declared run times of each job kind are off.
 *
 * <p>The logarithm of a run time is modelled as that of the declared one, plus a bias of the kind,
 * less the logarithm of the target's speed; both unknowns follow the error in small steps.
 */
public final class SpeedModel {
    private static final double INITIAL_LEARNING_RATE = 0.5;
    private static final double MIN_LEARNING_RATE = 0.02;
    private static final double BIAS_LEARNING_RATE = 0.02;
    private static final double MAX_LOG_ERROR = 3.0;
    private static final double MIN_SPEED = 0.01;
    private static final double MAX_SPEED = 100.0;

    private final Map<String, Double> mLogBiasByKind = new HashMap<>();

    /** Learns from a task that ended well after the given time. */
    public void observe(TargetSpeed target, String kind, long expectedMillis, double runMillis) {
        double bias = mLogBiasByKind.getOrDefault(kind, 0.0);
        double expectedLog = Math.log(Math.max(1, expectedMillis)) + bias - Math.log(target.mSpeed);
        double error = Math.log(Math.max(1.0, runMillis)) - expectedLog;
        error = Math.clamp(error, -MAX_LOG_ERROR, MAX_LOG_ERROR);
        target.mObservationCount++;
        double learningRate =
                Math.max(MIN_LEARNING_RATE, INITIAL_LEARNING_RATE / target.mObservationCount);
        double speed = target.mSpeed * Math.exp(-learningRate * error);
        target.mSpeed = Math.clamp(speed, MIN_SPEED, MAX_SPEED);
        mLogBiasByKind.put(kind, bias + BIAS_LEARNING_RATE * error);
    }

    /** Returns the expected run time at speed 1, in milliseconds. */
    public double expectedMillis(String kind, long declaredMillis) {
        return declaredMillis * Math.exp(mLogBiasByKind.getOrDefault(kind, 0.0));
    }
}
