package org.jackdawsaddle.internal.pool;

/**
 * Tracks when an entry started, when its first sidecar accepted tasks, and the pauses during which
 * the process did not run.
 */
final class ProcessTimeline {
    /**
     * How long after the start the first sidecar may need to accept tasks: long enough for two
     * announcements of a target.
     */
    private static final long FIRST_SIDECAR_TIMEOUT_MILLIS = 3_000;

    /** How long after the first sidecar the others may need to connect. */
    private static final long OTHER_SIDECARS_TIMEOUT_MILLIS = 150;

    /** How long after a pause the entry may still read requests that arrived during it. */
    private static final long BACKLOG_MILLIS = 250;

    private long mNow;
    private long mStartedAt;

    /** When the first sidecar accepted tasks, in milliseconds since the epoch; 0 before that. */
    private long mFirstServingAt;

    /** When the latest pause ended, in milliseconds since the epoch; 0 before the first one. */
    private long mResumedAt;

    /** The length of the latest pause, with those that ended just before it. */
    private long mPausedMillis;

    /**
     * Records the time of an event; to be called at every event.
     *
     * @param now in milliseconds since the epoch
     * @param tickDueAt when the next tick is due, in milliseconds since the epoch
     */
    void advanceTo(long now, long tickDueAt) {
        long expectedAt = Math.max(mNow, tickDueAt);
        if (mNow > 0 && now - expectedAt > PoolTiming.PAUSE_THRESHOLD_MILLIS) {
            mPausedMillis = maxRequestAgeMillis() + now - mNow;
            mResumedAt = now;
        }
        mNow = now;
        mStartedAt = mStartedAt == 0 ? now : mStartedAt;
    }

    /** Records that a sidecar accepts tasks. */
    void recordSidecarServing() {
        mFirstServingAt = mFirstServingAt == 0 ? mNow : mFirstServingAt;
    }

    /**
     * Returns how long a request that is read now may have waited during a pause, in milliseconds;
     * 0 if no pause has ended lately.
     */
    long maxRequestAgeMillis() {
        return mNow - mResumedAt < BACKLOG_MILLIS ? mPausedMillis : 0;
    }

    /**
     * Returns whether callers may have left during a pause without this being known yet.
     *
     * @param resendMillis after how long callers without an answer leave, in milliseconds
     */
    boolean callersMayHaveLeft(long resendMillis) {
        return maxRequestAgeMillis() >= resendMillis;
    }

    /** Returns whether sidecars may still be missing, so that the total capacity is unknown. */
    boolean discovering() {
        return mFirstServingAt == 0
                ? mNow - mStartedAt < FIRST_SIDECAR_TIMEOUT_MILLIS
                : mNow - mFirstServingAt < OTHER_SIDECARS_TIMEOUT_MILLIS;
    }
}
