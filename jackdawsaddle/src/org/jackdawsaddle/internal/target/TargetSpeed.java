package org.jackdawsaddle.internal.target;

/** The estimated speed of one target, maintained by {@link SpeedModel}. */
public final class TargetSpeed {
    double mSpeed = 1.0;
    int mObservationCount;

    /** Number of run times in a row that were far too long, or negative if far too short. */
    private int mOutliers;

    /** A run time this far from the expected one, a factor of 2, is an outlier. */
    private static final double OUTLIER_LOG_RESIDUAL = 0.7;

    /** After so many outliers in a row on the same side the speed has changed. */
    private static final int OUTLIERS_FOR_CHANGE = 2;

    /** The relative uncertainty that remains after any number of observations. */
    private static final double RESIDUAL_UNCERTAINTY = 0.05;

    /** The additional uncertainty before the first observation; falls as 1/sqrt(n + 1). */
    private static final double INITIAL_UNCERTAINTY = 0.5;

    /** Returns whether a run time is too far from the expected one to come from its task alone. */
    static boolean outlier(double residual) {
        return Math.abs(residual) >= OUTLIER_LOG_RESIDUAL;
    }

    /** Records the logarithm of a run time divided by the expected one. */
    void recordResidual(double residual) {
        int side = (int) Math.signum(residual);
        if (!outlier(residual)) {
            mOutliers = 0;
        } else if (mOutliers * side > 0) {
            mOutliers += side;
        } else {
            mOutliers = side;
        }
    }

    /** Returns whether the latest run times show that the speed has changed at once. */
    boolean changed() {
        return Math.abs(mOutliers) >= OUTLIERS_FOR_CHANGE;
    }

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
