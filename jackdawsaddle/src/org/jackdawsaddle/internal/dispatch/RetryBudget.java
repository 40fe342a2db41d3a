package org.jackdawsaddle.internal.dispatch;

/**
 * Limits retries to a share of the successful tasks, so that retries cannot accumulate while most
 * tasks fail.
 */
final class RetryBudget {
    private static final double RETRIES_PER_SUCCESS = 0.1;
    private static final double MAX_RETRIES = 50;

    private double mRetries = MAX_RETRIES / 2;

    void succeeded() {
        mRetries = Math.min(MAX_RETRIES, mRetries + RETRIES_PER_SUCCESS);
    }

    /** Consumes one retry; returns false if the budget is exhausted. */
    boolean tryTake() {
        if (mRetries < 1) {
            return false;
        }
        mRetries--;
        return true;
    }
}
