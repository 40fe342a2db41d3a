package org.jackdawsaddle.internal.pool.sidecar;

import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.pool.PoolTiming;
import org.jackdawsaddle.pool.TargetIncarnation;

/**
 * Tracks when a target last answered, the offset of its clock, and the lease requested for its
 * runs.
 */
final class TargetLiveness {
    /** The lease counts as expired only after this many consecutive polls without answer. */
    private static final int MIN_UNANSWERED_FOR_EXPIRY = 6;

    /** After this many consecutive polls without answer a target gets no new tasks. */
    private static final int UNRESPONSIVE_AFTER_UNANSWERED = 3;

    /** After this many consecutive polls that reach no process, the target has crashed. */
    private static final int CRASHED_AFTER_UNREACHABLE = 2;

    private final long mLeaseMillis;
    private long mNow;

    /**
     * When the target last answered, in milliseconds since the epoch, or a later time from which
     * its silence counts.
     */
    private long mLastHeardAt;

    /** The target's clock minus the sidecar's, in milliseconds. */
    private long mClockOffset;

    private int mUnansweredPollCount;

    /** Number of consecutive polls that found no process at the target's address. */
    private int mUnreachablePollCount;

    /** The end of the latest lease requested, in milliseconds since the epoch by this sidecar. */
    private long mLatestLeaseEnd;

    TargetLiveness(long leaseMillis) {
        mLeaseMillis = Math.min(leaseMillis, PoolTiming.LEASE_MILLIS);
    }

    void advanceTo(long now) {
        mNow = now;
    }

    /** Records that the target has answered an order, or starts to count its silence from now. */
    void recordHeard() {
        mUnreachablePollCount = 0;
        mLastHeardAt = mNow;
    }

    /** Records the answer to a poll, with the reading of the target's clock. */
    void recordAnswered(long clock) {
        recordHeard();
        mUnansweredPollCount = 0;
        recordClock(clock);
    }

    void recordUnanswered(TargetIncarnation target) {
        mUnansweredPollCount++;
        if (mUnansweredPollCount == UNRESPONSIVE_AFTER_UNANSWERED) {
            EventLog.line(Event.TARGET_SILENT)
                    .with("target", target.id())
                    .with("silent_ms", silentMillis())
                    .write();
        }
    }

    /** Records that a poll found no process at the target's address. */
    void recordUnreachable(TargetIncarnation target) {
        mUnreachablePollCount++;
        recordUnanswered(target);
    }

    /** Returns whether the target's process has ended, so that none of its runs is left. */
    boolean crashed() {
        return mUnreachablePollCount >= CRASHED_AFTER_UNREACHABLE;
    }

    /** Sets the clock offset from a reading of the target's clock received now, in milliseconds. */
    void recordClock(long clock) {
        mClockOffset = clock - mNow;
    }

    /**
     * Returns whether fewer than {@link #UNRESPONSIVE_AFTER_UNANSWERED} polls in a row got no
     * answer, and the target has not crashed.
     */
    boolean responsive() {
        return mUnansweredPollCount < UNRESPONSIVE_AFTER_UNANSWERED && !crashed();
    }

    /**
     * Returns the end of the lease to request, on the target's clock. While polls go unanswered,
     * the lease is not extended before it has expired, so that the runs of an unresponsive target
     * end soon.
     */
    long nextLeaseEnd() {
        if (mUnansweredPollCount == 0 || mNow > mLatestLeaseEnd) {
            mLatestLeaseEnd = Math.max(mLatestLeaseEnd, mNow + mLeaseMillis);
        }
        return mLatestLeaseEnd + mClockOffset;
    }

    /**
     * Returns whether the target's lease may have expired. It must not be renewed then: that would
     * request a new lease, and postpone the time at which the runs count as ended.
     */
    boolean leaseMayHaveExpired() {
        return silentMillis() > mLeaseMillis;
    }

    /**
     * Returns whether the target's lease has certainly expired. The elapsed time alone is no proof:
     * the clock jumps when the instance was suspended or its system time was set.
     */
    boolean leaseHasExpired() {
        return mUnansweredPollCount >= MIN_UNANSWERED_FOR_EXPIRY
                && mNow > mLatestLeaseEnd + PoolTiming.LEASE_SLACK_MILLIS;
    }

    /** Returns the time since the last call of {@link #recordHeard}, in milliseconds. */
    long silentMillis() {
        return mNow - mLastHeardAt;
    }
}
