package org.jackdawsaddle.internal.pool;

/** What an entry knows of its own time: how long ago it started, and when it stood still. */
final class ProcessTime {
    /** How long after a start sidecars may take to be found: two announcements of a target. */
    private static final long FIRST_SIDECAR_MILLIS = 3_000;

    /** How long after the first sidecar the others may take to connect. */
    private static final long SETTLE_MILLIS = 150;

    /** How long after a pause requests may come that had waited in connections all the while. */
    private static final long BACKLOG_MILLIS = 250;

    private long mNow;
    private long mStartedAt;
    private long mServingAt;
    private long mWokeAt;
    private long mPausedMillis;

    /** Notes the time, at every event. */
    void at(long now) {
        if (mNow > 0 && now - mNow > PoolTiming.OWN_PAUSE_MILLIS) {
            mPausedMillis = Math.max(requestAge(), now - mNow);
            mWokeAt = now;
        }
        mNow = now;
        mStartedAt = mStartedAt == 0 ? now : mStartedAt;
    }

    /** Notes that a sidecar serves. */
    void noteServing() {
        mServingAt = mServingAt == 0 ? mNow : mServingAt;
    }

    /** Returns the age that a request may have which is read now, in milliseconds. */
    long requestAge() {
        return mNow - mWokeAt < BACKLOG_MILLIS ? mPausedMillis : 0;
    }

    /** Returns whether too few sidecars may be known yet to judge what can be served. */
    boolean settling() {
        return mServingAt == 0
                ? mNow - mStartedAt < FIRST_SIDECAR_MILLIS
                : mNow - mServingAt < SETTLE_MILLIS;
    }
}
