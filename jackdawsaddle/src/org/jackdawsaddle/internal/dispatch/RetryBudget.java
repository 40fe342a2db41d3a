package org.jackdawsaddle.internal.dispatch;

/**
 * Limits retries to {@link #RETRIES_PER_SUCCESS} per successful task, so that retries cannot
 * accumulate while most tasks fail. Half of the maximum is available from the start.
 */
final class RetryBudget {
    private static final double RETRIES_PER_SUCCESS = 0.1;
    private static final double MAX_AVAILABLE_RETRIES = 50;

    private double mAvailableRetries = MAX_AVAILABLE_RETRIES / 2;

    /** Adds the share of one successful task, up to the maximum. */
    void recordSuccess() {
        mAvailableRetries =
                Math.min(MAX_AVAILABLE_RETRIES, mAvailableRetries + RETRIES_PER_SUCCESS);
    }

    /** Consumes one retry; returns false if the budget is exhausted. */
    boolean tryTake() {
        if (mAvailableRetries < 1) {
            return false;
        }
        mAvailableRetries--;
        return true;
    }
}
