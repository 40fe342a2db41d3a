package org.jackdawsaddle.internal.pool.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongUnaryOperator;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReport;
import org.jackdawsaddle.internal.pool.PoolTiming;

/**
 * A sidecar's connection to one entry, and what it has reported there. All times are in
 * milliseconds since the epoch.
 */
final class EntryView {
    private boolean mConnected;

    /** When a message last arrived or, if that is later, when the connection was opened. */
    private long mLastHeardAt;

    /**
     * When the entry was lost; 0 if it has sent a message since. An open connection alone does not
     * show that the entry receives anything.
     */
    private long mLostAt;

    /** Until when the entry may still stop runs from before it was lost. */
    private long mReturningUntil;

    /** Whether the entry has asked to learn changes of the free capacity at once. */
    private boolean mWatching;

    /** The number of the last start order received on this connection. */
    private long mLastHandledStartNumber;

    /** When the free capacity was last sent; 0 to send it with the next updates. */
    private long mRoomSentAt;

    /** The free capacity that was last sent. */
    private Demand mReportedFree = Demand.NONE;

    private boolean mReportedServing;
    private List<String> mReportedUnsettledJobs = List.of();

    /** Whether a job that was last sent as unsettled no longer is. */
    private boolean mJobsRemoved;

    /** The reports to send on this connection or, if it is closed, on the next one. */
    private final List<TaskReport> mPendingReports = new ArrayList<>();

    boolean connected() {
        return mConnected;
    }

    void onConnected(long now) {
        mConnected = true;
        mWatching = false;
        mLastHeardAt = now;
        mLastHandledStartNumber = 0;
        mRoomSentAt = 0;
    }

    void onLost(long now) {
        mConnected = false;
        mLostAt = lost() ? mLostAt : now;
    }

    /** Returns whether the connection was lost and no message has arrived since. */
    boolean lost() {
        return mLostAt > 0;
    }

    /**
     * Returns whether the runs of the entry may be stopped or active without anyone waiting for
     * them: it is lost, or was until lately and may not have told yet which runs must stop.
     */
    boolean unsettled(long now) {
        return lost() || now < mReturningUntil;
    }

    /** Records a message, which the entry only sends once it has received one. */
    void onHeard(long now) {
        if (lost()) {
            mReturningUntil =
                    now + PoolTiming.RECONNECT_TIMEOUT_MILLIS + PoolTiming.STOP_TIMEOUT_MILLIS;
        }
        mLastHeardAt = now;
        mLostAt = 0;
    }

    /**
     * Handles a heartbeat. The next updates answer it with the free capacity if the entry watches
     * from now on, or has not been sent any for long: one wake-up then serves both directions.
     */
    void onPing(PoolMessage.Ping ping, long now) {
        boolean starts = ping.watching() && !mWatching;
        if (starts || now - mRoomSentAt >= PoolTiming.IDLE_ANSWER_INTERVAL_MILLIS) {
            mRoomSentAt = 0;
        }
        mWatching = ping.watching();
    }

    void onStart(PoolMessage.Start start) {
        mLastHandledStartNumber = start.number();
    }

    /** Makes the next updates contain the free capacity. */
    void requestRoom() {
        mRoomSentAt = 0;
    }

    void addReport(TaskReport report) {
        mPendingReports.add(report);
    }

    /**
     * Returns whether the entry has been silent for so long that its connection must close.
     *
     * @param ownsRuns whether the sidecar holds runs of the entry
     */
    boolean connectionTimedOut(boolean ownsRuns, long now) {
        return mConnected && now > connectionTimeoutAt(ownsRuns);
    }

    private long connectionTimeoutAt(boolean ownsRuns) {
        return mLastHeardAt
                + (mWatching || ownsRuns
                        ? PoolTiming.CONNECTION_TIMEOUT_MILLIS
                        : PoolTiming.IDLE_CONNECTION_TIMEOUT_MILLIS);
    }

    /**
     * Returns whether the entry has been silent for so long, or is lost, that the lease of its runs
     * must not be renewed.
     */
    boolean silent(long now) {
        return lost() || now - mLastHeardAt > PoolTiming.RENEWAL_SILENCE_MILLIS;
    }

    /** Returns whether the entry was lost so long ago that its runs must end. */
    boolean reconnectTimedOut(long now) {
        return lost() && now >= reconnectTimeoutAt();
    }

    private long reconnectTimeoutAt() {
        return mLostAt + PoolTiming.RECONNECT_TIMEOUT_MILLIS;
    }

    /**
     * Returns when the next timeout or report is due if nothing happens until then, in milliseconds
     * since the epoch.
     *
     * @param free the free capacity
     * @param ownsRuns whether the sidecar holds runs of the entry
     */
    long nextDeadline(Demand free, boolean ownsRuns, long now) {
        if (!mConnected) {
            return reconnectTimeoutAt();
        }
        long deadline = Math.min(connectionTimeoutAt(ownsRuns) + 1, roomDueAt(free, ownsRuns));
        if (lost() && !reconnectTimedOut(now)) {
            deadline = Math.min(deadline, reconnectTimeoutAt());
        }
        return now < mReturningUntil ? Math.min(deadline, mReturningUntil) : deadline;
    }

    /**
     * Returns the messages to send now, which count as sent: the reports on the entry's runs, and
     * the free capacity if that is due. Reports always carry the free capacity with them.
     *
     * @param room the state to report, without the numbers of the entry's start orders
     * @param settledStarts returns the number of the last start order up to which no run may start
     *     later, for that of the last one
     * @param ownsRuns whether the sidecar holds runs of the entry
     */
    List<PoolMessage> takeUpdates(
            PoolMessage.Room room, LongUnaryOperator settledStarts, boolean ownsRuns, long now) {
        if (!mConnected || !roomDue(room, ownsRuns, now)) {
            return List.of();
        }
        List<PoolMessage> updates = new ArrayList<>();
        if (!mPendingReports.isEmpty()) {
            updates.add(new PoolMessage.TaskReports(List.copyOf(mPendingReports)));
            mPendingReports.clear();
        }
        long settled = settledStarts.applyAsLong(mLastHandledStartNumber);
        updates.add(room.withStarts(mLastHandledStartNumber, settled));
        mRoomSentAt = now;
        mReportedFree = room.free();
        mReportedServing = room.serving();
        mReportedUnsettledJobs = room.unsettledJobs();
        mJobsRemoved = false;
        return updates;
    }

    private boolean roomDue(PoolMessage.Room room, boolean ownsRuns, long now) {
        boolean jobsAdded = !mReportedUnsettledJobs.containsAll(room.unsettledJobs());
        mJobsRemoved = !room.unsettledJobs().containsAll(mReportedUnsettledJobs);
        return !mPendingReports.isEmpty()
                || room.serving() != mReportedServing
                || jobsAdded
                || now >= roomDueAt(room.free(), ownsRuns);
    }

    /** Returns when the free capacity is due to be reported again. */
    private long roomDueAt(Demand free, boolean ownsRuns) {
        if (mJobsRemoved || mWatching && !free.equals(mReportedFree)) {
            return mRoomSentAt + PoolTiming.ROOM_INTERVAL_MILLIS;
        }
        return mRoomSentAt
                + (mWatching || ownsRuns
                        ? PoolTiming.HEARTBEAT_INTERVAL_MILLIS
                        : PoolTiming.IDLE_REPORT_INTERVAL_MILLIS);
    }
}
