package org.jackdawsaddle.internal.pool;

/** What an entry knows of its own time: how long ago it started, and when it stood still. */
final class ProcessTimeline {
    /** How long after a start sidecars may take to be found: two announcements of a target. */
    private static final long FIRST_SIDECAR_TIMEOUT_MILLIS = 3_000;

    /** How long after the first sidecar the others may take to connect. */
    private static final long OTHER_SIDECARS_TIMEOUT_MILLIS = 150;

    /** How long after a pause requests may come that had waited in connections all the while. */
    private static final long BACKLOG_MILLIS = 250;

    private long mNow;
    private long mStartedAt;
    private long mFirstServingAt;
    private long mResumedAt;
    private long mPausedMillis;

    /** Notes the time, at every event. */
    void advanceTo(long now) {
        if (mNow > 0 && now - mNow > PoolTiming.PAUSE_THRESHOLD_MILLIS) {
            mPausedMillis = Math.max(maxRequestAgeMillis(), now - mNow);
            mResumedAt = now;
        }
        mNow = now;
        mStartedAt = mStartedAt == 0 ? now : mStartedAt;
    }

    /** Notes that a sidecar serves. */
    void noteSidecarServing() {
        mFirstServingAt = mFirstServingAt == 0 ? mNow : mFirstServingAt;
    }

    /** Returns the age that a request may have which is read now, in milliseconds. */
    long maxRequestAgeMillis() {
        return mNow - mResumedAt < BACKLOG_MILLIS ? mPausedMillis : 0;
    }

    /** Returns whether too few sidecars may be known yet to judge what can be served. */
    boolean discovering() {
        return mFirstServingAt == 0
                ? mNow - mStartedAt < FIRST_SIDECAR_TIMEOUT_MILLIS
                : mNow - mFirstServingAt < OTHER_SIDECARS_TIMEOUT_MILLIS;
    }
}
