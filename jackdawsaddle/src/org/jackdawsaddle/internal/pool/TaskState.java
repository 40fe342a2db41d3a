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

    /** The index of the step in the job, from 0. */
    final int mStepIndex;

    final String mName;

    /** The sidecars where a run of the task has failed. */
    final Set<NodeId> mFailedAt = new HashSet<>();

    Phase mPhase = Phase.WAITING;

    /**
     * The number of the latest run; 0 before the first one. Increased without a run if a target has
     * seen higher numbers.
     */
    int mLastRunNumber;

    int mFailureCount;

    /**
     * Creates a task that waits.
     *
     * @param stepIndex the index of the step in the job, from 0
     * @param index the index of the task in its step, from 0
     */
    TaskState(ActiveJob job, int stepIndex, int index) {
        mJob = job;
        mStep = job.mJob.steps().get(stepIndex);
        mStepIndex = stepIndex;
        mName = TaskNames.of(job.mJob.id(), stepIndex, index);
    }

    /** Returns a new run with the next number; the first run has number 1. */
    Run nextRun() {
        mLastRunNumber++;
        return new Run(mName, mLastRunNumber);
    }
}
