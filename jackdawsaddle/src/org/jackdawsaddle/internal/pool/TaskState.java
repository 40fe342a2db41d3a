package org.jackdawsaddle.internal.pool;

import java.util.HashSet;
import java.util.Set;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.pool.PoolStep;

/** The state of a task of an active job. */
final class TaskState {
    /** The phase of a task. */
    enum Phase {
        /** Waits for earlier steps or for free capacity. */
        WAITING,
        /** Has a run that is not known to have ended. */
        PLACED,
        /** Has succeeded. */
        DONE
    }

    final ActiveJob mJob;
    final PoolStep mStep;
    final int mStepIndex;
    final String mName;

    /** The sidecars where a run of the task has failed. */
    final Set<NodeId> mFailedAt = new HashSet<>();

    Phase mPhase = Phase.WAITING;
    int mLastRunNumber;
    int mFailureCount;

    TaskState(ActiveJob job, int stepIndex, int index) {
        mJob = job;
        mStep = job.mJob.steps().get(stepIndex);
        mStepIndex = stepIndex;
        mName = TaskNames.of(job.mJob.id(), stepIndex, index);
    }

    /** Returns a new run with the next number; the first one has 1. */
    Run nextRun() {
        mLastRunNumber++;
        return new Run(mName, mLastRunNumber);
    }
}
