package org.jackdawsaddle.internal.pool;

/**
 * Chooses after what delay a refused caller should retry: once the jobs that wait are likely to be
 * served, and not all callers at the same time, so that their return does not cause the next
 * overload.
 */
final class RetryDelay {
    private static final long MIN_MILLIS = 1_000;

    private static final long MAX_MILLIS = 10_000;

    private RetryDelay() {}

    /**
     * Returns a delay between one and two times the wait, the same for each refusal of a job.
     *
     * @param job the id of the job
     * @param waitMillis how long jobs like it wait for capacity, in milliseconds; 0 if unknown
     * @return the delay in milliseconds
     */
    static long millis(String job, long waitMillis) {
        long base = Math.clamp(waitMillis, MIN_MILLIS, MAX_MILLIS);
        return base + Math.floorMod(MixedHash.of(job), base);
    }
}
