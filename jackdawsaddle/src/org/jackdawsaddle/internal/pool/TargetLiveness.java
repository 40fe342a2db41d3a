package org.jackdawsaddle.internal.pool;

import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.pool.TargetIncarnation;

/** When a target was last heard, and how its steady clock stands to the sidecar's. */
final class TargetLiveness {
    /** So many calls in a row without an answer show that a target is silent. */
    private static final int MIN_UNANSWERED_FOR_EXPIRY = 6;

    /** After so many calls in a row without an answer a target gets no new work. */
    private static final int UNRESPONSIVE_AFTER_UNANSWERED = 3;

    private final long mLeaseMillis;
    private long mNow;
    private long mLastHeardAt;
    private long mClockOffset;
    private int mUnansweredPolls;

    /** The end of the longest lease that the target was asked for. */
    private long mLatestLeaseEnd;

    TargetLiveness(long leaseMillis) {
        mLeaseMillis = Math.min(leaseMillis, PoolTiming.LEASE_MILLIS);
    }

    void advanceTo(long now) {
        mNow = now;
    }

    void noteHeard() {
        mLastHeardAt = mNow;
    }

    void noteAnswered(long clock) {
        noteHeard();
        mUnansweredPolls = 0;
        noteClock(clock);
    }

    void noteUnanswered(TargetIncarnation target) {
        mUnansweredPolls++;
        if (mUnansweredPolls == UNRESPONSIVE_AFTER_UNANSWERED) {
            EventLog.line(Event.TARGET_SILENT)
                    .with("target", target.id())
                    .with("silent_ms", silentMillis())
                    .write();
        }
    }

    void noteClock(long clock) {
        mClockOffset = clock - mNow;
    }

    /** Returns whether the target has answered one of the last calls. */
    boolean responsive() {
        return mUnansweredPolls < UNRESPONSIVE_AFTER_UNANSWERED;
    }

    /**
     * Returns until when the target may run what it is told to, on its clock. Leases are not
     * extended while a call is unanswered, so that what a silent target runs ends soon.
     */
    long nextLeaseEnd() {
        if (mUnansweredPolls == 0 || mNow > mLatestLeaseEnd) {
            mLatestLeaseEnd = Math.max(mLatestLeaseEnd, mNow + mLeaseMillis);
        }
        return mLatestLeaseEnd + mClockOffset;
    }

    /** Returns whether the target may have ended its leases, so that renewing may harm. */
    boolean leasesMayHaveExpired() {
        return silentMillis() > mLeaseMillis;
    }

    /**
     * Returns whether the target has ended all its leases. The clock alone does not tell, as it
     * leaps when the instance was suspended or its time of day was set.
     */
    boolean leasesHaveExpired() {
        return mUnansweredPolls >= MIN_UNANSWERED_FOR_EXPIRY
                && mNow > mLatestLeaseEnd + PoolTiming.LEASE_SLACK_MILLIS;
    }

    long silentMillis() {
        return mNow - mLastHeardAt;
    }
}
