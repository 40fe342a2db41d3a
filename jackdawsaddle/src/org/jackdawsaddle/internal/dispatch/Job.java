package org.jackdawsaddle.internal.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.JobKind;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;

/** A job that the owner of its partition processes, with the states of its tasks. */
final class Job {
    /** The state of a task. */
    private enum TaskState {
        QUEUED,
        STARTED,
        COMPLETED,
        FAILED
    }

    final JobRequest mRequest;
    final JobKind mKind;
    final List<Waiter> mWaiters = new ArrayList<>();

    /** The indexes of the tasks that wait for a start, in the order in which they are started. */
    final Deque<Integer> mQueuedIndexes = new ArrayDeque<>();

    /** The sidecars on which a task of the job has failed or was lost. */
    final Set<NodeId> mTriedSidecars = new HashSet<>();

    /** When the job arrived at the owner, in milliseconds since the epoch. */
    final long mArrivedAt;

    /** The sort key of the queue; lower keys are served first. */
    long mSortKey;

    /** Whether the job has passed admission control and counts towards the limits. */
    boolean mAdmitted;

    int mRetryCount;
    private final TaskState[] mStates;
    private final String[] mAnswers;
    private int mCompletedCount;

    /**
     * The number of task starts that were not refused, including those that a previous owner may
     * have made.
     */
    private int mPossibleStarts;

    private JobAnswer mAnswer;

    Job(JobRequest request, JobKind kind, long arrivedAt) {
        mRequest = request;
        mKind = kind;
        mArrivedAt = arrivedAt;
        mStates = new TaskState[request.tasks().size()];
        mAnswers = new String[request.tasks().size()];
        Arrays.fill(mStates, TaskState.QUEUED);
    }

    int taskCount() {
        return mStates.length;
    }

    int completedCount() {
        return mCompletedCount;
    }

    /** Returns the deadline in milliseconds since the epoch. */
    long deadline() {
        return mRequest.deadline();
    }

    Optional<JobAnswer> answer() {
        return Optional.ofNullable(mAnswer);
    }

    boolean ended() {
        return mAnswer != null;
    }

    void end(JobAnswer answer) {
        mAnswer = answer;
        mQueuedIndexes.clear();
        Arrays.fill(mAnswers, null);
    }

    /** Returns whether any task was or may have been started. */
    boolean mayHaveStarted() {
        return mPossibleStarts > 0;
    }

    /** Records that a previous owner may have started a task. */
    void assumeStarted() {
        mPossibleStarts++;
    }

    /** Returns whether no task waits for its start or for a retry. */
    boolean allStarted() {
        return Arrays.stream(mStates).noneMatch(state -> state == TaskState.QUEUED);
    }

    /** Returns whether the task waits for its start or for a retry. */
    boolean queued(int index) {
        return mStates[index] == TaskState.QUEUED;
    }

    /**
     * Returns whether the job may be retried after a failure: its kind is idempotent and it has one
     * task.
     */
    boolean retriable() {
        return mKind.idempotent() && taskCount() == 1;
    }

    /**
     * Returns the run time of a task at speed 1, in milliseconds: the declared one, or the typical
     * one of the job kind if none is declared.
     */
    long expectedMillis(int index) {
        long declared = mRequest.tasks().get(index).expectedMillis();
        return declared > 0 ? declared : mKind.typicalMillis();
    }

    /** Returns the total run time of all tasks at speed 1, in milliseconds. */
    long workMillis() {
        long work = 0;
        for (int index = 0; index < mStates.length; index++) {
            work += expectedMillis(index);
        }
        return work;
    }

    /** Adds every task that waits for a start to the queued indexes. */
    void queueUnstarted() {
        for (int index = 0; index < mStates.length; index++) {
            if (queued(index)) {
                mQueuedIndexes.add(index);
            }
        }
    }

    void markStarted(int index) {
        if (queued(index)) {
            mPossibleStarts++;
        }
        mStates[index] = TaskState.STARTED;
    }

    /** Puts a task whose start was refused back at the head of the queued indexes. */
    void markNotStarted(int index) {
        if (mStates[index] == TaskState.STARTED) {
            mPossibleStarts--;
            mStates[index] = TaskState.QUEUED;
            mQueuedIndexes.addFirst(index);
        }
    }

    /** Queues a task of a retriable job again after a failure. */
    void retry(int index) {
        mStates[index] = TaskState.QUEUED;
        mQueuedIndexes.addFirst(index);
    }

    /** Records the answer of a task; returns whether it completes the job. */
    boolean markCompleted(int index, String answer) {
        if (mStates[index] == TaskState.COMPLETED) {
            return false;
        }
        markStarted(index);
        mStates[index] = TaskState.COMPLETED;
        mAnswers[index] = answer;
        mCompletedCount++;
        return mCompletedCount == mStates.length;
    }

    void markFailed(int index) {
        markStarted(index);
        mStates[index] = TaskState.FAILED;
    }

    JobAnswer completeAnswer() {
        return new JobAnswer.Complete(Arrays.asList(mAnswers));
    }
}
