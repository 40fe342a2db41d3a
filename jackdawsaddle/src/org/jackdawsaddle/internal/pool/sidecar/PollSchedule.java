package org.jackdawsaddle.internal.pool.sidecar;

/**
 * Numbers the polls of a target, decides when the next one is due, and keeps the acknowledgement
 * cursor. At most one poll is in flight; the answer to an earlier one is ignored. All times are in
 * milliseconds since the epoch.
 */
final class PollSchedule {
    /** How long a poll waits for a run to end; a lost answer hides ended runs for as long. */
    static final long WAIT_MILLIS = 80;

    /** The pause after a poll that was of no use. */
    static final long RETRY_MILLIS = 50;

    /** The number of the latest poll; 0 before the first one. */
    private long mLatest;

    /** When it was sent. */
    private long mSentAt;

    private boolean mInFlight;
    private long mDueAt;

    /** The number of the last end that was processed. */
    private long mAckCursor;

    /** The cursor in the latest poll. */
    private long mSentAckCursor;

    private long mNow;

    void advanceTo(long now) {
        mNow = now;
    }

    /**
     * Drops the poll in flight and restarts the cursor; a new incarnation numbers its ends anew.
     * The next poll is due at once, as it shows which runs have ended with the previous one.
     */
    void onNewIncarnation() {
        mInFlight = false;
        mDueAt = mNow;
        mLatest++;
        mAckCursor = 0;
        mSentAckCursor = 0;
    }

    /** Records that the next poll is sent now. */
    void onSent() {
        mInFlight = true;
        mSentAt = mNow;
        mLatest++;
        mSentAckCursor = mAckCursor;
    }

    /**
     * Records the answer to a poll, or its failure; the next poll is due at once.
     *
     * @return false if the poll was not the latest, so that its answer must be ignored
     */
    boolean onAnswered(long number) {
        if (number != mLatest) {
            return false;
        }
        mInFlight = false;
        mDueAt = mNow;
        return true;
    }

    /**
     * Returns how long the latest poll took, in milliseconds; at most as long as a poll waits, as
     * the clock may have jumped.
     */
    long elapsedMillis() {
        return Math.min(mNow - mSentAt, WAIT_MILLIS);
    }

    /** Delays the next poll, as the latest one was of no use. */
    void retryLater() {
        mDueAt = mNow + RETRY_MILLIS;
    }

    /**
     * Advances the cursor to an end.
     *
     * @return false if the end was processed before
     */
    boolean acknowledge(long endNumber) {
        if (endNumber <= mAckCursor) {
            return false;
        }
        mAckCursor = endNumber;
        return true;
    }

    /** Returns whether the latest poll did not yet acknowledge all processed ends. */
    boolean acknowledgementDue() {
        return mSentAckCursor != mAckCursor;
    }

    long ackCursor() {
        return mAckCursor;
    }

    long latest() {
        return mLatest;
    }

    /** Returns when the next poll may be sent; {@code Long.MAX_VALUE} while one is in flight. */
    long dueAt() {
        return mInFlight ? Long.MAX_VALUE : mDueAt;
    }
}
