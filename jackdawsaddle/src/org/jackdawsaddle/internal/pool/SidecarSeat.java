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

/** What an entry knows of one life of a sidecar and of what it has placed there. */
final class SidecarSeat {
    final Map<Run, PlacedRun> mPlaced = new LinkedHashMap<>();
    final TargetHealth mHealth = new TargetHealth();
    final TargetSpeed mSpeed = new TargetSpeed();
    final Set<String> mOrphans = new HashSet<>();
    PoolMessage.Hello mHello;
    boolean mConnected;
    long mHeardAt;
    long mToldAt;
    long mAvoidUntil;
    long mLastDoneAt;
    private final Map<Long, Demand> mUncounted = new LinkedHashMap<>();
    private Demand mFree = Demand.NONE;

    /** The least room in the span of time before the last tick, and since then. */
    private Demand mLeastBefore = Demand.NONE;

    private Demand mLeastNow = Demand.NONE;
    private boolean mServing;
    private long mClock;
    private long mStarts;

    SidecarSeat(PoolMessage.Hello hello) {
        mHello = hello;
    }

    NodeId node() {
        return mHello.sidecar();
    }

    void connected(long now) {
        mConnected = true;
        mHeardAt = now;
        mToldAt = 0;
        mStarts = 0;
        mUncounted.clear();
        mFree = Demand.NONE;
        mLeastNow = Demand.NONE;
        mServing = false;
    }

    void onRoom(PoolMessage.Room room) {
        mFree = room.free();
        mServing = room.serving();
        mClock = room.clock();
        mUncounted.keySet().removeIf(number -> number <= room.handledStarts());
        mOrphans.clear();
        mOrphans.addAll(room.orphanedJobs());
        mLeastNow = mLeastNow.min(free());
    }

    /** Returns what is free after the orders that the sidecar has not counted yet. */
    Demand free() {
        Demand free = mFree;
        for (Demand uncounted : mUncounted.values()) {
            free = free.minus(uncounted);
        }
        return free;
    }

    boolean serving() {
        return mConnected && mServing;
    }

    boolean usable(long now) {
        return serving()
                && now >= mAvoidUntil
                && now - mHeardAt <= PoolTiming.SUSPECT_MILLIS
                && mPlaced.size() < mHealth.allowedTasks(now, Integer.MAX_VALUE);
    }

    void onTick() {
        mLeastBefore = mLeastNow;
        mLeastNow = free();
    }

    /** Returns whether there has been room for a while, which no other entry has taken. */
    boolean fitsInLeftOvers(Demand demand) {
        return demand.fitsIn(mLeastBefore) && demand.fitsIn(mLeastNow);
    }

    boolean fits(Demand demand) {
        return demand.fitsIn(free());
    }

    /** Returns the order to start the given tasks, which are counted from now on. */
    PoolMessage.Start order(List<PoolMessage.StartTask> tasks) {
        mStarts++;
        return new PoolMessage.Start(mStarts, mClock, tasks);
    }

    /** Counts a task that will be in the next order. */
    void reserve(Demand demand) {
        mUncounted.merge(mStarts + 1, demand, Demand::plus);
        mLeastNow = mLeastNow.min(free());
    }
}
