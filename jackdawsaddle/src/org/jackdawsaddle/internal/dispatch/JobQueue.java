package org.jackdawsaddle.internal.dispatch;

import java.util.Comparator;
import java.util.TreeSet;

/** The jobs of one service that have queued tasks, in the order in which they are served. */
final class JobQueue {
    private final TreeSet<Job> mJobs =
            new TreeSet<>(
                    Comparator.comparingLong((Job job) -> job.mSortKey)
                            .thenComparing(job -> job.mRequest.id()));
    private int mTaskCount;
    private long mWorkMillis;

    Iterable<Job> jobs() {
        return mJobs;
    }

    boolean isEmpty() {
        return mJobs.isEmpty();
    }

    /** Returns the number of queued tasks of all jobs. */
    int taskCount() {
        return mTaskCount;
    }

    /** Returns the total run time at speed 1 of all queued tasks, in milliseconds. */
    long workMillis() {
        return mWorkMillis;
    }

    /** Queues every task of the job that was not started. */
    void add(Job job) {
        job.queueUnstarted();
        job.mQueuedIndexes.forEach(index -> count(job, index, 1));
        if (!job.mQueuedIndexes.isEmpty()) {
            mJobs.add(job);
        }
    }

    void remove(Job job) {
        if (mJobs.remove(job)) {
            job.mQueuedIndexes.forEach(index -> count(job, index, -1));
        }
    }

    /** Removes the next task of the job from the queue and returns its index. */
    int take(Job job) {
        int index = job.mQueuedIndexes.remove();
        count(job, index, -1);
        if (job.mQueuedIndexes.isEmpty()) {
            mJobs.remove(job);
        }
        return index;
    }

    /**
     * Counts the task that was put back at the head of the job's queued tasks, and adds the job if
     * it had no other queued task.
     */
    void putBack(Job job) {
        count(job, job.mQueuedIndexes.element(), 1);
        mJobs.add(job);
    }

    /** Adds one task to the totals if the sign is 1, or subtracts it if the sign is -1. */
    private void count(Job job, int index, int sign) {
        mTaskCount += sign;
        mWorkMillis += sign * job.expectedMillis(index);
    }
}
