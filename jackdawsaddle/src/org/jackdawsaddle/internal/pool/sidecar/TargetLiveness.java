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
    /**
     * The lease counts as expired only after consecutive polls without answer that have taken this
     * long.
     */
    private static final long MIN_POLLED_SILENCE_MILLIS =
            PoolTiming.LEASE_MILLIS + PoolTiming.LEASE_SLACK_MILLIS;

    /** After this many consecutive polls without answer a target gets no new tasks. */
    private static final int UNRESPONSIVE_AFTER_UNANSWERED = 3;

    /** After this many consecutive polls that reach no process, the target seems to be gone. */
    private static final int GONE_AFTER_UNREACHABLE = 2;

    /** The lease that is requested, in milliseconds. */
    private final long mLeaseMillis;

    /** The longest lease that the target grants, in milliseconds. */
    private final long mLongestLeaseMillis;

    private long mNow;

    /**
     * When the target last answered, in milliseconds since the epoch, or a later time from which
     * its silence counts.
     */
    private long mLastHeardAt;

    /**
     * The target's clock minus the sidecar's, in milliseconds; less by the time that the reading
     * was in transit.
     */
    private long mClockOffset;

    private int mUnansweredPollCount;

    /**
     * How long the consecutive polls without answer have taken at least, whatever the clock says,
     * in milliseconds.
     */
    private long mPolledSilenceMillis;

    /** Number of consecutive polls that found no process at the target's address. */
    private int mUnreachablePollCount;

    /**
     * For how long at least the latest polls have all found no process, whatever the clock says, in
     * milliseconds.
     */
    private long mUnreachableMillis;

    /**
     * The end of the latest lease that the target may have received, but for that of the poll in
     * flight, in milliseconds on the target's clock.
     */
    private long mLeaseEnd;

    /** The same for the poll in flight; 0 if it requests none. */
    private long mPollLeaseEnd;

    /**
     * Creates the record of a target that has not answered.
     *
     * @param longestLeaseMillis the longest lease that the target grants, in milliseconds
     */
    TargetLiveness(long longestLeaseMillis) {
        mLongestLeaseMillis = longestLeaseMillis;
        mLeaseMillis = Math.min(longestLeaseMillis, PoolTiming.LEASE_MILLIS);
    }

    void advanceTo(long now) {
        mNow = now;
    }

    /** Records that the target has answered an order, or starts to count its silence from now. */
    void recordHeard() {
        mUnreachablePollCount = 0;
        mUnreachableMillis = 0;
        mLastHeardAt = mNow;
    }

    /** Records the answer to a poll, with the reading of the target's clock. */
    void recordAnswered(long clock) {
        recordHeard();
        keepPolledLease();
        mUnansweredPollCount = 0;
        mPolledSilenceMillis = 0;
        recordClock(clock);
    }

    /**
     * Records that a poll got no usable answer: it may have renewed the lease.
     *
     * @param pollMillis how long the poll took, in milliseconds
     */
    void recordUnanswered(TargetIncarnation target, long pollMillis) {
        keepPolledLease();
        mUnreachableMillis = 0;
        countUnanswered(target, pollMillis + PollSchedule.RETRY_MILLIS);
    }

    /**
     * Records that a poll found no process at the target's address: it has not renewed the lease,
     * but the target's runs may go on until the lease ends.
     */
    void recordUnreachable(TargetIncarnation target) {
        mPollLeaseEnd = 0;
        mUnreachablePollCount++;
        mUnreachableMillis += PollSchedule.RETRY_MILLIS;
        countUnanswered(target, PollSchedule.RETRY_MILLIS);
    }

    private void countUnanswered(TargetIncarnation target, long minMillis) {
        mPolledSilenceMillis += minMillis;
        mUnansweredPollCount++;
        if (mUnansweredPollCount == UNRESPONSIVE_AFTER_UNANSWERED) {
            EventLog.line(Event.TARGET_SILENT)
                    .with("target", target.id())
                    .with("silent_ms", silentMillis())
                    .write();
        }
    }

    /**
     * Returns whether the target's process seems to have ended. Its runs may go on all the same
     * until their lease has expired, as a live target may refuse connections for a while.
     */
    boolean seemsGone() {
        return mUnreachablePollCount >= GONE_AFTER_UNREACHABLE;
    }

    /**
     * Returns whether the target's process has ended: all polls have found none for as long as a
     * lease lasts. It can then carry out no order that it left unanswered.
     */
    boolean gone() {
        return mUnreachableMillis >= MIN_POLLED_SILENCE_MILLIS;
    }

    /** Sets the clock offset from a reading of the target's clock received now, in milliseconds. */
    void recordClock(long clock) {
        mClockOffset = clock - mNow;
    }

    /**
     * Returns whether fewer than {@link #UNRESPONSIVE_AFTER_UNANSWERED} polls in a row got no
     * answer, and the latest one was not refused.
     */
    boolean responsive() {
        return mUnansweredPollCount < UNRESPONSIVE_AFTER_UNANSWERED && mUnreachablePollCount == 0;
    }

    /**
     * Returns the end of the lease to request by a start order, on the target's clock.
     *
     * @param renewable whether the lease of all runs may be renewed
     */
    long requestLeaseByStart(boolean renewable) {
        mLeaseEnd = renewable ? nextLeaseEnd() : latestLeaseEnd();
        return mLeaseEnd;
    }

    /** Returns the end of the lease to request by the next poll, on the target's clock. */
    long requestLeaseByPoll() {
        keepPolledLease();
        mPollLeaseEnd = nextLeaseEnd();
        return mPollLeaseEnd;
    }

    /**
     * Returns the end of the lease to request. While polls go unanswered, the lease is not extended
     * before it has expired, so that the runs of an unresponsive target end soon.
     */
    private long nextLeaseEnd() {
        long latest = latestLeaseEnd();
        return mUnansweredPollCount == 0 || targetNow() > latest
                ? Math.max(latest, targetNow() + mLeaseMillis)
                : latest;
    }

    /** Returns a time that the target's clock has certainly reached, unless this clock jumped. */
    private long targetNow() {
        return mNow + mClockOffset;
    }

    /** Returns when the last lease that the target may hold ends, on its clock. */
    private long latestLeaseEnd() {
        return Math.max(mLeaseEnd, mPollLeaseEnd);
    }

    /** Records that the latest poll may have reached the target. */
    private void keepPolledLease() {
        mLeaseEnd = latestLeaseEnd();
        mPollLeaseEnd = 0;
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
        return mPolledSilenceMillis >= MIN_POLLED_SILENCE_MILLIS
                && targetNow() > latestLeaseEnd() + PoolTiming.LEASE_SLACK_MILLIS;
    }

    /**
     * Records a new incarnation of the target, with the reading of its clock, which starts anew: it
     * may have granted the longest lease on a request by the clock of the earlier one.
     */
    void onNewIncarnation(long clock) {
        long remainingMillis = latestLeaseEnd() - targetNow() + mLongestLeaseMillis - mLeaseMillis;
        recordClock(clock);
        mLeaseEnd = targetNow() + Math.max(0, remainingMillis);
        mPollLeaseEnd = 0;
        recordHeard();
    }

    /** Returns the time since the last call of {@link #recordHeard}, in milliseconds. */
    long silentMillis() {
        return mNow - mLastHeardAt;
    }
}
