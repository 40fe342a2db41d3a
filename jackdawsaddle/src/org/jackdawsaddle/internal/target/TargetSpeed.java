package org.jackdawsaddle.internal.target;

/** The estimated speed of one target, maintained by {@link SpeedModel}. */
public final class TargetSpeed {
    double mSpeed = 1.0;
    int mObservationCount;

    /** The relative uncertainty that remains after any number of observations. */
    private static final double RESIDUAL_UNCERTAINTY = 0.05;

    /** The additional uncertainty before the first observation; falls as 1/sqrt(n + 1). */
    private static final double INITIAL_UNCERTAINTY = 0.5;

    /** Returns the estimated speed; at 1, tasks take {@link SpeedModel#expectedMillis}. */
    public double speed() {
        return mSpeed;
    }

    /** Returns the estimated speed, lowered by its uncertainty. */
    public double conservativeSpeed() {
        return mSpeed
                / (1
                        + RESIDUAL_UNCERTAINTY
                        + INITIAL_UNCERTAINTY / Math.sqrt(mObservationCount + 1.0));
    }
}
