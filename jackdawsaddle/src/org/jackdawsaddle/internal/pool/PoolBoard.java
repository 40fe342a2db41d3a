package org.jackdawsaddle.internal.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.pool.PoolConfiguration;

/** The blackboard of an entry in a pool, used on the control thread alone. */
final class PoolBoard {
    /** How long after a start sidecars may take to be found: two announcements of a target. */
    private static final long DISCOVERY_MILLIS = 3_000;

    /** Events that lie further apart than this, in milliseconds, show a pause of this process. */
    private static final long PAUSE_MILLIS = 300;

    /** How long after a pause requests may come that had waited in connections all the while. */
    private static final long BACKLOG_MILLIS = 250;

    /** How long after the first sidecar the others may take to connect. */
    private static final long SETTLE_MILLIS = 150;

    final Map<NodeId, SidecarSeat> mSeats = new LinkedHashMap<>();
    final Map<String, ActiveJob> mJobs = new LinkedHashMap<>();

    /** How many runs of jobs that were given up have not ended, by job id. */
    final Map<String, Integer> mLeftovers = new HashMap<>();

    final List<PoolEntryAction> mActions = new ArrayList<>();
    private final Map<NodeId, List<Run>> mStops = new LinkedHashMap<>();
    private final long[] mCounts = new long[PoolEntryCounter.values().length];
    PoolConfiguration mConfiguration = PoolConfiguration.NONE;

    /** How many other entries are connected. */
    int mPeers;

    boolean mLeaving;
    long mNow;
    private long mStartedAt;
    private long mServingAt;
    private long mWokeAt;
    private long mPausedMillis;

    void at(long now) {
        if (mNow > 0 && now - mNow > PAUSE_MILLIS) {
            mWokeAt = now;
            mPausedMillis = now - mNow;
        }
        mNow = now;
        mStartedAt = mStartedAt == 0 ? now : mStartedAt;
    }

    /** Returns the age that a request may have which is read now, in milliseconds. */
    long requestAge() {
        return mNow - mWokeAt < BACKLOG_MILLIS ? mPausedMillis : 0;
    }

    /** Notes that a sidecar serves. */
    void noteServing() {
        mServingAt = mServingAt == 0 ? mNow : mServingAt;
    }

    /** Returns whether too few sidecars may be known yet to judge what can be served. */
    boolean settling() {
        return mServingAt == 0
                ? mNow - mStartedAt < DISCOVERY_MILLIS
                : mNow - mServingAt < SETTLE_MILLIS;
    }

    void count(PoolEntryCounter counter) {
        mCounts[counter.ordinal()]++;
    }

    long counted(PoolEntryCounter counter) {
        return mCounts[counter.ordinal()];
    }

    void send(SidecarSeat seat, PoolMessage message) {
        if (seat.mConnected) {
            seat.mToldAt = mNow;
            mActions.add(new PoolEntryAction.SendToSidecar(seat.node(), message));
        }
    }

    /** Tells the sidecar to stop a run; the room stays taken until it says that the run ended. */
    void stop(SidecarSeat seat, PlacedRun placed) {
        placed.mStopped = true;
        mStops.computeIfAbsent(seat.node(), node -> new ArrayList<>()).add(placed.mRun);
    }

    /** Moves the orders to stop, one message a sidecar, to the actions. */
    void flushStops() {
        mStops.forEach((node, runs) -> {
            SidecarSeat seat = mSeats.get(node);
            if (seat != null) {
                send(seat, new PoolMessage.Stop(List.copyOf(runs)));
            }
        });
        mStops.clear();
    }
}
