package org.jackdawsaddle.internal.pool;

import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.pool.TargetLife;

/** When a target was last heard, and how its steady clock stands to the sidecar's. */
final class TargetContact {
    /** So many calls in a row without an answer show that a target is silent. */
    private static final int MIN_UNANSWERED = 6;

    /** After so many calls in a row without an answer a target gets no new work. */
    private static final int MIN_UNRESPONSIVE = 3;

    private final long mLeaseMillis;
    private long mNow;
    private long mHeardAt;
    private long mClockLead;
    private int mUnanswered;

    /** The end of the longest lease that the target was asked for. */
    private long mPromisedUntil;

    TargetContact(long leaseMillis) {
        mLeaseMillis = Math.min(leaseMillis, PoolTiming.LEASE_MILLIS);
    }

    void at(long now) {
        mNow = now;
    }

    void heard() {
        mHeardAt = mNow;
    }

    void answered(long clock) {
        heard();
        mUnanswered = 0;
        noteClock(clock);
    }

    void unanswered(TargetLife life) {
        mUnanswered++;
        if (mUnanswered == MIN_UNRESPONSIVE) {
            EventLog.line(Event.TARGET_SILENT)
                    .with("target", life.id())
                    .with("silent_ms", silentMillis())
                    .write();
        }
    }

    void noteClock(long clock) {
        mClockLead = clock - mNow;
    }

    /** Returns whether the target has answered one of the last calls. */
    boolean responsive() {
        return mUnanswered < MIN_UNRESPONSIVE;
    }

    /**
     * Returns until when the target may run what it is told to, on its clock. Leases are not
     * extended while a call is unanswered, so that what a silent target runs ends soon.
     */
    long leaseEnd() {
        if (mUnanswered == 0 || mNow > mPromisedUntil) {
            mPromisedUntil = Math.max(mPromisedUntil, mNow + mLeaseMillis);
        }
        return mPromisedUntil + mClockLead;
    }

    /** Returns whether the target may have ended its leases, so that renewing may harm. */
    boolean leasesMayBeOver() {
        return silentMillis() > mLeaseMillis;
    }

    /**
     * Returns whether the target has ended all its leases. The clock alone does not tell, as it
     * leaps when the instance was suspended or its time of day was set.
     */
    boolean leasesAreOver() {
        return mUnanswered >= MIN_UNANSWERED
                && mNow > mPromisedUntil + PoolTiming.LEASE_SLACK_MILLIS;
    }

    long silentMillis() {
        return mNow - mHeardAt;
    }
}
