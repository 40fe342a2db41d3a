package org.jackdawsaddle.internal.pool;

/** Tracks how long ago an entry started, and its pauses: times at which the process did not run. */
final class ProcessTimeline {
    /**
     * How long after the start the first sidecar may need to appear: two announcements of a target.
     */
    private static final long FIRST_SIDECAR_TIMEOUT_MILLIS = 3_000;

    /** How long after the first sidecar the others may need to connect. */
    private static final long OTHER_SIDECARS_TIMEOUT_MILLIS = 150;

    /** How long after a pause requests may be read that waited in connection buffers during it. */
    private static final long BACKLOG_MILLIS = 250;

    private long mNow;
    private long mStartedAt;
    private long mFirstServingAt;
    private long mResumedAt;
    private long mPausedMillis;

    /** Records the current time; must be called at every event. */
    void advanceTo(long now) {
        if (mNow > 0 && now - mNow > PoolTiming.PAUSE_THRESHOLD_MILLIS) {
            mPausedMillis = Math.max(maxRequestAgeMillis(), now - mNow);
            mResumedAt = now;
        }
        mNow = now;
        mStartedAt = mStartedAt == 0 ? now : mStartedAt;
    }

    /** Records that a sidecar accepts tasks. */
    void recordSidecarServing() {
        mFirstServingAt = mFirstServingAt == 0 ? mNow : mFirstServingAt;
    }

    /** Returns the greatest age that a request read now may have, in milliseconds. */
    long maxRequestAgeMillis() {
        return mNow - mResumedAt < BACKLOG_MILLIS ? mPausedMillis : 0;
    }

    /** Returns whether sidecars may still be missing, so that the total capacity is unknown. */
    boolean discovering() {
        return mFirstServingAt == 0
                ? mNow - mStartedAt < FIRST_SIDECAR_TIMEOUT_MILLIS
                : mNow - mFirstServingAt < OTHER_SIDECARS_TIMEOUT_MILLIS;
    }
}
