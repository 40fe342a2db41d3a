package org.jackdawsaddle.internal.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.SidecarMessage.SidecarHello;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.internal.target.TargetHealth;
import org.jackdawsaddle.internal.target.TargetSpeed;

/** What an entry knows of one sidecar and its target. */
final class SidecarView {
    final TargetHealth mHealth = new TargetHealth();
    final Map<TaskKey, RunningTask> mRunning = new LinkedHashMap<>();
    SidecarHello mHello;
    boolean mConnected;
    long mDisconnectedAt;
    int mPartition;
    long mSealedEpoch;
    long mRevision;
    boolean mDrained;
    int mSlotLimit;
    long mBackoffUntil;
    final TargetSpeed mSpeed = new TargetSpeed();
    Demand mUsedCapacity = Demand.NONE;

    SidecarView(SidecarHello hello, int partition) {
        mHello = hello;
        mPartition = partition;
    }

    NodeId node() {
        return mHello.sidecar();
    }

    int slots() {
        return mSlotLimit > 0 ? Math.min(mSlotLimit, mHello.slots()) : mHello.slots();
    }

    /** Returns whether the sidecar waits to end and runs nothing. */
    boolean canExit() {
        return mConnected && mHello.leaving() && mRunning.isEmpty();
    }

    /** Returns how many more tasks the target may be given at this time. */
    int freeSlots(long now) {
        int allowed = Math.min(slots(), mHealth.allowedTasks(now, slots()));
        return allowed - mRunning.size();
    }

    boolean serving() {
        return mConnected && mHello.serving() && !mDrained;
    }

    /** Returns whether a task of the given demand can be started now. */
    boolean canStart(Demand demand, long now) {
        return serving()
                && now >= mBackoffUntil
                && freeSlots(now) > 0
                && mUsedCapacity.plus(demand).fitsIn(capacity(demand));
    }

    /** Returns whether the target could ever hold a task of the given demand. */
    boolean everFits(Demand demand) {
        return demand.fitsIn(capacity(demand));
    }

    void add(RunningTask task) {
        mRunning.put(task.key(), task);
        mUsedCapacity = mUsedCapacity.plus(task.demand());
    }

    RunningTask remove(TaskKey key) {
        RunningTask task = mRunning.remove(key);
        if (task != null) {
            mUsedCapacity = mRunning.isEmpty() ? Demand.NONE : mUsedCapacity.minus(task.demand());
        }
        return task;
    }

    /** Drops the tasks of jobs that have ended; returns whether none is left. */
    boolean dropEndedTasks() {
        List.copyOf(mRunning.values()).stream()
                .filter(task -> task.job().ended())
                .forEach(task -> remove(task.key()));
        return mRunning.isEmpty();
    }

    /** A kind without a demand is bound by slots alone. */
    private Demand capacity(Demand demand) {
        return demand.equals(Demand.NONE) ? mUsedCapacity : mHello.capacity();
    }

    double speed() {
        return mSpeed.speed();
    }
}
