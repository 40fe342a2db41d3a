package org.jackdawsaddle.internal.pool;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.target.TargetHealth;
import org.jackdawsaddle.internal.target.TargetSpeed;

/** What an entry knows of one incarnation of a sidecar, and the runs that it has placed there. */
final class SidecarView {
    /** Declared times may explain runs that take this many times as long as expected. */
    private static final double MIN_SLOWDOWN = 2;

    /** For how long a target counts as slow after its runs have last shown it. */
    private static final long SLOWDOWN_MILLIS = 1_000;

    final Map<Run, PlacedRun> mPlacedRuns = new LinkedHashMap<>();
    final TargetHealth mHealth = new TargetHealth();
    final TargetSpeed mSpeed = new TargetSpeed();

    /** The jobs with runs of other entries at the sidecar that should have ended, by id. */
    final Set<String> mUnsettledJobs = new HashSet<>();

    /** The latest description that the sidecar has sent of itself and its target. */
    PoolMessage.Hello mHello;

    boolean mConnected;

    /** Whether its data centre is evacuated, so that it must get no new tasks. */
    boolean mEvacuated;

    /** Whether the sidecar was asked to report changes of its free capacity at once. */
    private boolean mWatched;

    /** When a message from the sidecar last arrived, in milliseconds since the epoch. */
    private long mLastHeardAt;

    /**
     * From when the silence of the sidecar counts, in milliseconds since the epoch: when a message
     * last arrived or, if that is later, when the connection became active.
     */
    private long mSilentSince;

    /** When a message was last sent to it, in milliseconds since the epoch; 0 for never. */
    long mLastSentAt;

    /** The version of the latest configuration that it has announced or was sent. */
    long mConfigurationVersion;

    /** Until when the sidecar gets no new tasks, in milliseconds since the epoch. */
    long mBackoffUntil;

    /** When a run was last reported done, in milliseconds since the epoch; 0 for never. */
    long mLastDoneAt;

    /**
     * The demand of tasks that the reported free capacity does not account for yet, by the number
     * of their start order.
     */
    private final Map<Long, Demand> mUnacknowledgedDemand = new LinkedHashMap<>();

    /** The most of each resource that its target has had. */
    private Demand mLargestCapacity;

    /** The free capacity in the sidecar's latest report. */
    private Demand mReportedFree = Demand.NONE;

    /** The least free capacity between the last two ticks. */
    private Demand mMinFreeLastTick = Demand.NONE;

    /** The least free capacity since the last tick. */
    private Demand mMinFreeThisTick = Demand.NONE;

    /** How many times slower the target is than its learned speed; 1 unless runs show it. */
    private double mSlowdown = 1;

    /** Until when the slowdown counts, in milliseconds since the epoch. */
    private long mSlowdownUntil;

    private boolean mServing;

    /** The sidecar's clock in its latest report, which start orders quote. */
    private long mSidecarClock;

    /** The number of the last start order on this connection; the first one has 1. */
    private long mLastStartNumber;

    /** The number of the last start order of which no run may start later; -1 if not known. */
    private long mSettledStarts = -1;

    /** Whether it was logged that runs are kept, though the sidecar has been silent for long. */
    private boolean mRunsKept;

    SidecarView(PoolMessage.Hello hello) {
        mHello = hello;
        mLargestCapacity = hello.capacity();
    }

    NodeId node() {
        return mHello.sidecar();
    }

    void onConnected(long now) {
        mConnected = true;
        mWatched = false;
        mPlacedRuns.values().forEach(this::moveToNewConnection);
        mSettledStarts = -1;
        mRunsKept = false;
        onHeard(now);
        mLastSentAt = 0;
        mLastStartNumber = 0;
        mUnacknowledgedDemand.clear();
        mReportedFree = Demand.NONE;
        mMinFreeThisTick = Demand.NONE;
        mServing = false;
    }

    private void moveToNewConnection(PlacedRun placed) {
        placed.mStartSettled = !mayStartLater(placed);
        placed.mStartNumber = 0;
    }

    /**
     * Returns whether the target may still start a run, as far as the sidecar has told: it has not
     * said that the start was answered.
     */
    boolean mayStartLater(PlacedRun placed) {
        return !placed.mStartSettled && placed.mStartNumber > mSettledStarts;
    }

    /** Records that runs are kept after a long silence; returns whether that is new. */
    boolean markRunsKept() {
        boolean marked = !mRunsKept;
        mRunsKept = true;
        return marked;
    }

    /** Records that a message has arrived from the sidecar. */
    void onHeard(long now) {
        mLastHeardAt = now;
        mSilentSince = now;
    }

    /** Excludes a pause of this process from the time since the last message. */
    void discountPause(long pauseMillis, long now) {
        mLastHeardAt = Math.min(now, mLastHeardAt + pauseMillis);
        mSilentSince = Math.min(now, mSilentSince + pauseMillis);
    }

    /** Returns how long the silence of the sidecar has lasted, in milliseconds. */
    long silentMillis(long now) {
        return now - mSilentSince;
    }

    boolean watched() {
        return mWatched;
    }

    /** Sets whether the sidecar is watched; this must be followed by a ping that tells it so. */
    void watch(boolean watched, long now) {
        countSilenceFromNowIfIdle(now);
        mWatched = watched;
    }

    /** Records that a run was placed; its start order must follow. */
    void addRun(PlacedRun placed, long now) {
        countSilenceFromNowIfIdle(now);
        placed.mStartNumber = mLastStartNumber + 1;
        mPlacedRuns.put(placed.mRun, placed);
        reserve(placed.mTask.mStep.demand());
    }

    private void countSilenceFromNowIfIdle(long now) {
        if (!active()) {
            mSilentSince = Math.max(mSilentSince, now);
        }
    }

    /** Returns whether heartbeats are frequent on the connection to the sidecar. */
    boolean active() {
        return mWatched || !mPlacedRuns.isEmpty();
    }

    /** Returns whether the sidecar has been silent for so long that its connection must close. */
    boolean connectionTimedOut(long now) {
        return silentMillis(now)
                > (active()
                        ? PoolTiming.CONNECTION_TIMEOUT_MILLIS
                        : PoolTiming.IDLE_CONNECTION_TIMEOUT_MILLIS);
    }

    /** Returns whether a heartbeat must be sent to the sidecar. */
    boolean heartbeatDue(long now) {
        return now - mLastSentAt
                >= (active()
                        ? PoolTiming.HEARTBEAT_INTERVAL_MILLIS
                        : PoolTiming.IDLE_HEARTBEAT_INTERVAL_MILLIS);
    }

    void onRoom(PoolMessage.Room room) {
        mLargestCapacity = mLargestCapacity.max(mHello.capacity());
        mReportedFree = room.free();
        mServing = room.serving();
        mSidecarClock = room.clock();
        mSettledStarts = room.settledStarts();
        mUnacknowledgedDemand.keySet().removeIf(number -> number <= room.handledStarts());
        mUnsettledJobs.clear();
        mUnsettledJobs.addAll(room.unsettledJobs());
        mMinFreeThisTick = mMinFreeThisTick.min(free());
    }

    /** Returns the most of each resource that the target has had since the sidecar is known. */
    Demand largestCapacity() {
        return mLargestCapacity;
    }

    /**
     * Returns the free capacity less the demand of tasks that the sidecar has not accounted for
     * yet.
     */
    Demand free() {
        Demand free = mReportedFree;
        for (Demand unacknowledged : mUnacknowledgedDemand.values()) {
            free = free.minus(unacknowledged);
        }
        return free;
    }

    /** Returns whether the sidecar is connected and has reported that it accepts new tasks. */
    boolean reportedServing() {
        return mConnected && mServing;
    }

    /** Returns whether the sidecar accepts new tasks and its data centre is not evacuated. */
    boolean serving() {
        return reportedServing() && !mEvacuated;
    }

    /**
     * Returns whether the sidecar may get a new task now: it serves, has sent a message lately, and
     * neither its backoff nor the probation of its target forbids it.
     */
    boolean usable(long now) {
        return serving()
                && now >= mBackoffUntil
                && now - mLastHeardAt <= PoolTiming.SUSPECT_AFTER_MILLIS
                && mPlacedRuns.size() < mHealth.allowedTasks(now, Integer.MAX_VALUE);
    }

    /** Returns the estimated speed of the target, lowered while its runs take too long. */
    double speed() {
        return mSpeed.speed() / mSlowdown;
    }

    /** Returns the estimated speed, lowered by its uncertainty and while runs take too long. */
    double conservativeSpeed() {
        return mSpeed.conservativeSpeed() / mSlowdown;
    }

    /**
     * Updates how much slower the target is than its learned speed, as its current runs show it: by
     * how many times the second slowest of them has exceeded its expected time, if that is beyond
     * what wrong declared times explain. A target that turns slow shows this long before the first
     * of its runs ends. It counts as slow for a while after its last run has shown so, and is then
     * tried again.
     */
    private void updateSlowdown(long now) {
        double slowest = 0;
        double secondSlowest = 0;
        for (PlacedRun run : mPlacedRuns.values()) {
            double ratio = (now - run.mPlacedAt) / Math.max(1, run.mExpectedMillis);
            if (ratio > slowest) {
                secondSlowest = slowest;
                slowest = ratio;
            } else {
                secondSlowest = Math.max(secondSlowest, ratio);
            }
        }
        if (secondSlowest > MIN_SLOWDOWN) {
            mSlowdown = secondSlowest;
            mSlowdownUntil = now + SLOWDOWN_MILLIS;
        } else if (now >= mSlowdownUntil) {
            mSlowdown = 1;
        }
    }

    void onTick(long now) {
        updateSlowdown(now);
        mMinFreeLastTick = mMinFreeThisTick;
        mMinFreeThisTick = free();
    }

    /**
     * Returns whether enough capacity has been free all the time since the tick before the last
     * one, unclaimed by any entry.
     */
    boolean fitsUnclaimedCapacity(Demand demand) {
        return demand.fitsIn(mMinFreeLastTick) && demand.fitsIn(mMinFreeThisTick);
    }

    boolean fits(Demand demand) {
        return demand.fitsIn(free());
    }

    /** Returns the next start order; the demand of its tasks must have been reserved. */
    PoolMessage.Start startMessage(List<PoolMessage.StartTask> tasks) {
        mLastStartNumber++;
        return new PoolMessage.Start(mLastStartNumber, mSidecarClock, tasks);
    }

    /** Deducts the demand of a task of the next start order from the free capacity. */
    private void reserve(Demand demand) {
        mUnacknowledgedDemand.merge(mLastStartNumber + 1, demand, Demand::plus);
        mMinFreeThisTick = mMinFreeThisTick.min(free());
    }
}
