package org.jackdawsaddle.internal.target;

/** How fast one target was found to be; {@link SpeedModel} writes it. */
public final class TargetSpeed {
    double mSpeed = 1.0;
    int mObservationCount;

    /** What remains uncertain of a speed however often it was observed. */
    private static final double RESIDUAL_UNCERTAINTY = 0.05;

    /** What is uncertain of a speed that was never observed. */
    private static final double INITIAL_UNCERTAINTY = 0.5;

    /** Returns the speed as a multiple of the usual one. */
    public double speed() {
        return mSpeed;
    }

    /** Returns the speed that can be counted on, which nears the observed one with experience. */
    public double conservativeSpeed() {
        return mSpeed
                / (1
                        + RESIDUAL_UNCERTAINTY
                        + INITIAL_UNCERTAINTY / Math.sqrt(mObservationCount + 1.0));
    }
}
