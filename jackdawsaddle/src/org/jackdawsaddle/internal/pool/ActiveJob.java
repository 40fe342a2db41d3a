package org.jackdawsaddle.internal.pool;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jackdawsaddle.pool.PoolJob;
import org.jackdawsaddle.pool.PoolQueue;
import org.jackdawsaddle.pool.PoolStep;

/**
 * The state of a job on the entry that received it: created for the admission check, and kept after
 * the answer until the last run of the job has ended.
 */
final class ActiveJob {
    final PoolJob mJob;
    final PoolQueue mQueue;

    /** When this entry received the job, in milliseconds since the epoch. */
    final long mArrivedAt;

    /**
     * When the caller first sent the job, in milliseconds since the epoch. An estimate: a request
     * that lacks more than half a resend delay of the patience of the queue is taken for a resend,
     * sent one resend delay after the first request. One that lacks less has waited in this
     * process.
     */
    final long mFirstSentAt;

    /** The tokens of the calls that wait for the answer. */
    final List<Long> mCallerTokens = new ArrayList<>();

    final List<TaskState> mTasks = new ArrayList<>();

    /** The names of the targets on which tasks were placed, for the log. */
    final Set<String> mTargets = new LinkedHashSet<>();

    private int mDoneTaskCount;

    /** Number of tasks in the phase {@link TaskState.Phase#WAITING}. */
    private int mWaitingTaskCount;

    private boolean mEverPlaced;
    boolean mEnded;

    /** Whether the job has waited as it may have had runs of an earlier request, or no caller. */
    boolean mEverHeldBack;

    /** When the job ended, in milliseconds since the epoch; 0 before that. */
    long mEndedAt;

    /**
     * Creates a job of which no task has been placed.
     *
     * @param arrivedAt when this entry received the job, in milliseconds since the epoch
     * @param resendMillis how long a caller without an answer waits before it sends its job again,
     *     in milliseconds
     */
    ActiveJob(PoolJob job, PoolQueue queue, long arrivedAt, long resendMillis) {
        mJob = job;
        mQueue = queue;
        mArrivedAt = arrivedAt;
        long missingMillis = queue.patienceMillis() - (job.deadline() - arrivedAt);
        boolean sentBefore = missingMillis > resendMillis / 2;
        mFirstSentAt = sentBefore ? arrivedAt - resendMillis : arrivedAt;
        for (int step = 0; step < job.steps().size(); step++) {
            for (int index = 0; index < job.steps().get(step).tasks(); index++) {
                mTasks.add(new TaskState(this, step, index));
            }
        }
        mWaitingTaskCount = mTasks.size();
    }

    /** Records that a waiting task was placed on a sidecar. */
    void markPlaced(TaskState task) {
        task.mPhase = TaskState.Phase.PLACED;
        mWaitingTaskCount--;
        mEverPlaced = true;
    }

    /** Makes a placed task wait for another run; no effect on other tasks or after the end. */
    void markWaiting(TaskState task) {
        if (!mEnded && task.mPhase == TaskState.Phase.PLACED) {
            task.mPhase = TaskState.Phase.WAITING;
            mWaitingTaskCount++;
        }
    }

    /** Records that a task succeeded; returns whether all tasks of the job have. */
    boolean markDone(TaskState task) {
        if (task.mPhase != TaskState.Phase.DONE) {
            if (task.mPhase == TaskState.Phase.WAITING) {
                mWaitingTaskCount--;
            }
            task.mPhase = TaskState.Phase.DONE;
            mDoneTaskCount++;
        }
        return mDoneTaskCount == mTasks.size();
    }

    int doneTaskCount() {
        return mDoneTaskCount;
    }

    /** Returns whether a task was ever placed on a sidecar, even if it then did not start. */
    boolean everPlaced() {
        return mEverPlaced;
    }

    boolean hasStartableTask() {
        return mWaitingTaskCount > 0 && mTasks.stream().anyMatch(this::startable);
    }

    /** Returns whether a task waits only for free capacity: the steps before it are done. */
    boolean startable(TaskState task) {
        return task.mPhase == TaskState.Phase.WAITING
                && task.mStep.after().stream().allMatch(this::stepDone);
    }

    private boolean stepDone(int step) {
        return mTasks.stream()
                .filter(task -> task.mStepIndex == step)
                .allMatch(task -> task.mPhase == TaskState.Phase.DONE);
    }

    /** Returns the declared work of all tasks, done ones included, in core milliseconds. */
    double declaredWork() {
        double work = 0;
        for (PoolStep step : mJob.steps()) {
            work += step.tasks() * step.demand().cores() * step.expectedMillis();
        }
        return work;
    }

    /**
     * Returns when a task must end for its job to meet the response time objective of the queue, in
     * milliseconds since the epoch.
     *
     * @param expectedMillis the expected run time of the task at speed 1, in milliseconds
     */
    long dueAt(double expectedMillis) {
        return mFirstSentAt + mQueue.targetMillis() + Math.round(mQueue.stretch() * expectedMillis);
    }
}
