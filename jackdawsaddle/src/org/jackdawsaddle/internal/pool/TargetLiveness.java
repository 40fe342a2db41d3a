package org.jackdawsaddle.internal.pool;

import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.pool.TargetIncarnation;

/**
 * Tracks when a target last answered, the offset of its clock, and the leases that it was granted.
 */
final class TargetLiveness {
    /** Leases count as expired only after this many consecutive polls without answer. */
    private static final int MIN_UNANSWERED_FOR_EXPIRY = 6;

    /** After this many consecutive polls without answer a target gets no new tasks. */
    private static final int UNRESPONSIVE_AFTER_UNANSWERED = 3;

    private final long mLeaseMillis;
    private long mNow;
    private long mLastHeardAt;
    private long mClockOffset;
    private int mUnansweredPolls;

    /** The end of the longest lease requested so far, on the sidecar's clock. */
    private long mLatestLeaseEnd;

    TargetLiveness(long leaseMillis) {
        mLeaseMillis = Math.min(leaseMillis, PoolTiming.LEASE_MILLIS);
    }

    void advanceTo(long now) {
        mNow = now;
    }

    void recordHeard() {
        mLastHeardAt = mNow;
    }

    void recordAnswered(long clock) {
        recordHeard();
        mUnansweredPolls = 0;
        recordClock(clock);
    }

    void recordUnanswered(TargetIncarnation target) {
        mUnansweredPolls++;
        if (mUnansweredPolls == UNRESPONSIVE_AFTER_UNANSWERED) {
            EventLog.line(Event.TARGET_SILENT)
                    .with("target", target.id())
                    .with("silent_ms", silentMillis())
                    .write();
        }
    }

    void recordClock(long clock) {
        mClockOffset = clock - mNow;
    }

    /** Returns whether the target has answered at least one of its latest polls. */
    boolean responsive() {
        return mUnansweredPolls < UNRESPONSIVE_AFTER_UNANSWERED;
    }

    /**
     * Returns the end of the lease to request, on the target's clock. Leases are not extended while
     * polls go unanswered, so that the runs of an unresponsive target end soon.
     */
    long nextLeaseEnd() {
        if (mUnansweredPolls == 0 || mNow > mLatestLeaseEnd) {
            mLatestLeaseEnd = Math.max(mLatestLeaseEnd, mNow + mLeaseMillis);
        }
        return mLatestLeaseEnd + mClockOffset;
    }

    /**
     * Returns whether the target's leases may have expired, so that renewing them could do harm.
     */
    boolean leaseMayHaveExpired() {
        return silentMillis() > mLeaseMillis;
    }

    /**
     * Returns whether all leases of the target have certainly expired. The elapsed time alone is no
     * proof: the clock jumps when the instance was suspended or its system time was set.
     */
    boolean leaseHasExpired() {
        return mUnansweredPolls >= MIN_UNANSWERED_FOR_EXPIRY
                && mNow > mLatestLeaseEnd + PoolTiming.LEASE_SLACK_MILLIS;
    }

    long silentMillis() {
        return mNow - mLastHeardAt;
    }
}
