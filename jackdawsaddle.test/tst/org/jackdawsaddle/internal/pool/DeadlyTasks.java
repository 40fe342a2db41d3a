package org.jackdawsaddle.internal.pool;

import java.util.HashMap;
import java.util.Map;
import org.jackdawsaddle.internal.pool.sidecar.PoolSidecarAction;
import org.jackdawsaddle.pool.TargetGateway.StartReply;

/** Tells which tasks of a simulation crash their worker, and counts their starts and crashes. */
final class DeadlyTasks {
    /** How long a deadly task runs before it crashes its worker. */
    static final long CRASH_AFTER_MILLIS = 15;

    /** How long a worker is down after a crash. */
    static final long DOWN_MILLIS = 3_000;

    /** The end of the payload of a job whose first task is deadly. */
    static final String PAYLOAD_SUFFIX = " deadly";

    private static final String FIRST_TASK_SUFFIX = ".0.0";
    private static final int CRASHES_BEFORE_LIMIT = 3;

    private final Map<String, Integer> mCrashes = new HashMap<>();
    private final Map<String, Integer> mStartsBeyondLimit = new HashMap<>();

    /** Records a start; returns whether it is one of a deadly task. */
    boolean onStarted(PoolSidecarAction.StartRun start, StartReply reply) {
        String task = start.run().task();
        boolean deadly =
                reply == StartReply.STARTED
                        && start.payload().endsWith(PAYLOAD_SUFFIX)
                        && task.endsWith(FIRST_TASK_SUFFIX);
        if (deadly && mCrashes.getOrDefault(task, 0) >= CRASHES_BEFORE_LIMIT) {
            mStartsBeyondLimit.merge(task, 1, Integer::sum);
        }
        return deadly;
    }

    void onCrashed(String task) {
        mCrashes.merge(task, 1, Integer::sum);
    }

    int crashes() {
        return mCrashes.values().stream().mapToInt(n -> n).sum();
    }

    /** Returns the most crashes under one task. */
    int mostCrashes() {
        return mCrashes.values().stream().mapToInt(n -> n).max().orElse(0);
    }

    /** Returns how often a task was started after three workers had crashed under it, at most. */
    int mostStartsBeyondLimit() {
        return mStartsBeyondLimit.values().stream().mapToInt(n -> n).max().orElse(0);
    }

    @Override
    public String toString() {
        return crashes()
                + " crashes under "
                + mCrashes.size()
                + " tasks, at most "
                + mostCrashes()
                + " under one, and "
                + mostStartsBeyondLimit()
                + " starts after the third";
    }
}
