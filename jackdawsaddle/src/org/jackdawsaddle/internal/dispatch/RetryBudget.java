package org.jackdawsaddle.internal.dispatch;

/** Allows retries as a share of the requests that ended well, so that they cannot pile up. */
final class RetryBudget {
    private static final double RETRIES_PER_SUCCESS = 0.1;
    private static final double MAX_RETRIES = 50;

    private double mRetries = MAX_RETRIES / 2;

    void succeeded() {
        mRetries = Math.min(MAX_RETRIES, mRetries + RETRIES_PER_SUCCESS);
    }

    /** Takes one retry out of the budget, if one is left. */
    boolean tryTake() {
        if (mRetries < 1) {
            return false;
        }
        mRetries--;
        return true;
    }
}
