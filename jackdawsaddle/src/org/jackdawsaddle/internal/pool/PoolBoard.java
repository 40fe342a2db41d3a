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
    final ProcessTime mTime = new ProcessTime();
    final TaskDurations mDurations = new TaskDurations();

    void at(long now) {
        mNow = now;
        mTime.at(now);
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
