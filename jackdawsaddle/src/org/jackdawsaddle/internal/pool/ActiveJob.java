package org.jackdawsaddle.internal.pool;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jackdawsaddle.pool.PoolJob;
import org.jackdawsaddle.pool.PoolQueue;
import org.jackdawsaddle.pool.PoolStep;

/** A job whose callers wait for the answer. */
final class ActiveJob {
    final PoolJob mJob;
    final PoolQueue mQueue;
    final long mArrivedAt;

    /** When its caller first sent it, as far as the caller's waiting time tells. */
    final long mFirstSentAt;

    final List<Long> mCallerTokens = new ArrayList<>();
    final List<TaskState> mTasks = new ArrayList<>();

    /** The targets that tasks were placed at. */
    final Set<String> mTargets = new LinkedHashSet<>();

    private int mDoneTasks;
    boolean mEnded;

    /**
     * Creates a job of which nothing has run.
     *
     * @param resendMillis how long a caller without an answer waits before it sends its job again
     */
    ActiveJob(PoolJob job, PoolQueue queue, long arrivedAt, long resendMillis) {
        mJob = job;
        mQueue = queue;
        mArrivedAt = arrivedAt;
        boolean sentBefore = job.deadline() - arrivedAt < queue.patienceMillis();
        mFirstSentAt = sentBefore ? arrivedAt - resendMillis : arrivedAt;
        for (int step = 0; step < job.steps().size(); step++) {
            for (int index = 0; index < job.steps().get(step).tasks(); index++) {
                mTasks.add(new TaskState(this, step, index));
            }
        }
    }

    /** Notes that a task ended well; returns whether the whole job has. */
    boolean markDone(TaskState task) {
        if (task.mPhase != TaskState.Phase.DONE) {
            task.mPhase = TaskState.Phase.DONE;
            mDoneTasks++;
        }
        return mDoneTasks == mTasks.size();
    }

    int doneTasks() {
        return mDoneTasks;
    }

    boolean started() {
        return mTasks.stream().anyMatch(task -> task.mLastRunNumber > 0);
    }

    boolean hasStartableTask() {
        return mTasks.stream().anyMatch(this::startable);
    }

    /** Returns whether a task waits for nothing but room. */
    boolean startable(TaskState task) {
        return task.mPhase == TaskState.Phase.WAITING
                && task.mStep.after().stream().allMatch(this::stepDone);
    }

    private boolean stepDone(int step) {
        return mTasks.stream()
                .filter(task -> task.mStepNumber == step)
                .allMatch(task -> task.mPhase == TaskState.Phase.DONE);
    }

    /** Returns the work of all tasks by what was declared, in core milliseconds. */
    double declaredWork() {
        double work = 0;
        for (PoolStep step : mJob.steps()) {
            work += step.tasks() * step.demand().cores() * step.expectedMillis();
        }
        return work;
    }

    /** Returns when a task should have ended for the job to be in time, by what was declared. */
    long dueAt(double expectedMillis) {
        return mFirstSentAt + mQueue.targetMillis() + Math.round(mQueue.stretch() * expectedMillis);
    }
}
