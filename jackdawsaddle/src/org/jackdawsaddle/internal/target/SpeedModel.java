package org.jackdawsaddle.internal.target;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the speed of each target and the bias of the declared run times of each job kind; in a
 * pool, the queue takes the place of the kind.
 *
 * <p>The model is {@code log(run time) = log(declared time) + bias(kind) - log(speed(target))}.
 * Bias and speed are fitted online by gradient steps on the residual, which is clamped to a factor
 * of about 20 either way. The learning rate of a speed falls with the number of observations down
 * to a minimum, so that the estimate keeps following slow changes, and rises again while run times
 * show that the speed has changed at once. Outliers tell nothing about the bias of their kind. Not
 * thread-safe.
 */
public final class SpeedModel {
    private static final double INITIAL_LEARNING_RATE = 0.5;
    private static final double MIN_LEARNING_RATE = 0.02;
    private static final double BIAS_LEARNING_RATE = 0.02;
    private static final double MAX_LOG_RESIDUAL = 3.0;

    private static final double MIN_SPEED = 0.01;
    private static final double MAX_SPEED = 100.0;

    private final Map<String, Double> mLogBiasByKind = new HashMap<>();

    /**
     * Updates the estimates from a completed task.
     *
     * @param targetSpeed the speed of the target, which is updated
     * @param kind the job kind of the task
     * @param declaredMillis the declared run time in milliseconds
     * @param runMillis the measured run time in milliseconds
     */
    public void observe(
            TargetSpeed targetSpeed, String kind, long declaredMillis, double runMillis) {
        double logBias = mLogBiasByKind.getOrDefault(kind, 0.0);
        double expectedLog =
                StrictMath.log(Math.max(1, declaredMillis))
                        + logBias
                        - StrictMath.log(targetSpeed.mSpeed);
        double residual = StrictMath.log(Math.max(1.0, runMillis)) - expectedLog;
        residual = Math.clamp(residual, -MAX_LOG_RESIDUAL, MAX_LOG_RESIDUAL);
        targetSpeed.mObservationCount++;
        targetSpeed.recordResidual(residual);
        double speed = targetSpeed.mSpeed * StrictMath.exp(-learningRate(targetSpeed) * residual);
        targetSpeed.mSpeed = Math.clamp(speed, MIN_SPEED, MAX_SPEED);
        if (!TargetSpeed.outlier(residual)) {
            mLogBiasByKind.put(kind, logBias + BIAS_LEARNING_RATE * residual);
        }
    }

    private static double learningRate(TargetSpeed targetSpeed) {
        return targetSpeed.changed()
                ? INITIAL_LEARNING_RATE
                : Math.max(
                        MIN_LEARNING_RATE, INITIAL_LEARNING_RATE / targetSpeed.mObservationCount);
    }

    /**
     * Returns the run time to expect at speed 1, in milliseconds: the declared time multiplied by
     * {@code exp(bias(kind))}.
     */
    public double expectedMillis(String kind, long declaredMillis) {
        return declaredMillis * StrictMath.exp(mLogBiasByKind.getOrDefault(kind, 0.0));
    }
}
