package org.jackdawsaddle.internal.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.SidecarMessage.SidecarHello;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.internal.target.TargetHealth;
import org.jackdawsaddle.internal.target.TargetSpeed;

/** The state of one sidecar and its target, as this entry sees it. */
final class SidecarView {
    final TargetHealth mHealth = new TargetHealth();

    /** The tasks that were started on the target and are not known to have ended. */
    final Map<TaskKey, RunningTask> mRunning = new LinkedHashMap<>();

    /** The latest announcement. */
    SidecarHello mHello;

    boolean mConnected;

    /** When the connection was lost last, in milliseconds since the epoch. */
    long mDisconnectedAt;

    /** The partition of the target, -1 while it is unknown. */
    int mPartition;

    /** The epoch for which the sidecar has confirmed a seal, 0 for none. */
    long mSealedEpoch;

    /** The configuration revision that the sidecar has confirmed. */
    long mRevision;

    boolean mDrained;

    /** The configured limit of concurrent tasks, 0 for none. */
    int mSlotLimit;

    /**
     * No task is started before this time, in milliseconds since the epoch, after the sidecar has
     * refused one.
     */
    long mBackoffUntil;

    /** The inquiry about its running tasks that it has not answered. */
    Optional<RunningInquiry> mRunningInquiry = Optional.empty();

    final TargetSpeed mSpeed = new TargetSpeed();

    /** The total demand of the running tasks. */
    Demand mUsedCapacity = Demand.NONE;

    SidecarView(SidecarHello hello, int partition) {
        mHello = hello;
        mPartition = partition;
    }

    NodeId node() {
        return mHello.sidecar();
    }

    /** Returns the maximum number of concurrent tasks, announced or limited by configuration. */
    int slots() {
        return mSlotLimit > 0 ? Math.min(mSlotLimit, mHello.slots()) : mHello.slots();
    }

    /** Returns whether the sidecar is connected, is leaving and runs no task. */
    boolean canExit() {
        return mConnected && mHello.leaving() && mRunning.isEmpty();
    }

    /**
     * Returns how many more tasks may be started on the target by its slots and its health;
     * negative if more are running than it may have now.
     */
    int freeSlots(long now) {
        int allowed = Math.min(slots(), mHealth.allowedTasks(now, slots()));
        return allowed - mRunning.size();
    }

    /** Returns whether the sidecar is connected, accepts new tasks and is not drained. */
    boolean serving() {
        return mConnected && mHello.serving() && !mDrained;
    }

    /** Returns whether a task with the given demand can be started now. */
    boolean canStart(Demand demand, long now) {
        return serving()
                && now >= mBackoffUntil
                && freeSlots(now) > 0
                && mUsedCapacity.plus(demand).fitsIn(capacity(demand));
    }

    /** Returns whether the target could run a task with the given demand if it were idle. */
    boolean everFits(Demand demand) {
        return demand.fitsIn(capacity(demand));
    }

    void add(RunningTask task) {
        mRunning.put(task.key(), task);
        mUsedCapacity = mUsedCapacity.plus(task.demand());
    }

    /** Removes a running task; returns null if it is not known. */
    RunningTask remove(TaskKey key) {
        RunningTask task = mRunning.remove(key);
        if (task != null) {
            mUsedCapacity = mRunning.isEmpty() ? Demand.NONE : mUsedCapacity.minus(task.demand());
        }
        return task;
    }

    /** Removes the tasks of jobs that have ended; returns whether no task is left. */
    boolean dropEndedTasks() {
        List.copyOf(mRunning.values()).stream()
                .filter(task -> task.job().ended())
                .forEach(task -> remove(task.key()));
        return mRunning.isEmpty();
    }

    /**
     * Returns the capacity that a demand is checked against. A job kind without demand is limited
     * by slots only: the used capacity is returned for it, so that it always fits.
     */
    private Demand capacity(Demand demand) {
        return demand.equals(Demand.NONE) ? mUsedCapacity : mHello.capacity();
    }

    double speed() {
        return mSpeed.speed();
    }
}
