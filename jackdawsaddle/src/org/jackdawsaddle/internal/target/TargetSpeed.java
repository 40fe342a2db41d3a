package org.jackdawsaddle.internal.target;

/** The estimated speed of one target, maintained by {@link SpeedModel}. */
public final class TargetSpeed {
    double mSpeed = 1.0;
    int mObservationCount;

    /** The relative uncertainty that remains after any number of observations. */
    private static final double RESIDUAL_UNCERTAINTY = 0.05;

    /** The further uncertainty without observations; shrinks with the root of their number. */
    private static final double INITIAL_UNCERTAINTY = 0.5;

    /** Returns the estimated speed, where 1 is the usual one. */
    public double speed() {
        return mSpeed;
    }

    /** Returns a cautious estimate, which approaches the plain one with more observations. */
    public double conservativeSpeed() {
        return mSpeed
                / (1
                        + RESIDUAL_UNCERTAINTY
                        + INITIAL_UNCERTAINTY / Math.sqrt(mObservationCount + 1.0));
    }
}
