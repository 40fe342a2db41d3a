package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.job.JobAnswer;

/** Ends jobs: frees what they hold, stops what still runs and answers whoever waits. */
final class JobEnder {
    private final EntryBoard mBoard;
    private final Answers mAnswers;

    JobEnder(EntryBoard board, Answers answers) {
        mBoard = board;
        mAnswers = answers;
    }

    /** Ends a job whose deadline has passed. */
    void expire(OwnedPartition partition, Job job) {
        String detail = job.completed() + " of " + job.tasks() + " tasks had ended.";
        end(
                partition,
                job,
                job.touched() || !job.mAdmitted
                        ? new JobAnswer.Failed(ErrorCode.DEADLINE_EXCEEDED, detail)
                        : new JobAnswer.NotRun(ErrorCode.DEADLINE_PASSED, detail));
    }

    /** Ends a job that its caller no longer wants. */
    void cancel(OwnedPartition partition, Job job) {
        String detail = job.completed() + " of " + job.tasks() + " tasks had ended.";
        end(
                partition,
                job,
                job.touched() || !job.mAdmitted
                        ? new JobAnswer.Failed(ErrorCode.CANCELLED, detail)
                        : new JobAnswer.NotRun(ErrorCode.CANCELLED, detail));
    }

    /** Ends a job because one of its tasks failed. */
    void fail(OwnedPartition partition, Job job, ErrorCode code, String detail) {
        if (!job.ended()) {
            end(partition, job, new JobAnswer.Failed(code, detail));
        }
    }

    /** Ends a job with the given answer. */
    void end(OwnedPartition partition, Job job, JobAnswer answer) {
        List<Waiter> waiters = List.copyOf(job.mWaiters);
        partition.mBook.end(job, answer);
        switch (answer) {
            case JobAnswer.Complete complete -> {
                mBoard.count(EntryCounter.JOBS_COMPLETED);
                waiters.forEach(waiter -> mAnswers.give(waiter, complete));
            }
            case JobAnswer.NotRun notRun -> {
                mBoard.count(EntryCounter.JOBS_NOT_RUN);
                waiters.forEach(waiter -> mAnswers.refuse(partition, job.mRequest, waiter, notRun));
            }
            case JobAnswer.Failed failed -> {
                mBoard.count(EntryCounter.JOBS_FAILED);
                stopRunning(partition, job);
                waiters.forEach(waiter -> mAnswers.give(waiter, failed));
            }
            case JobAnswer.Pending pending ->
                    throw new IllegalArgumentException("Not an end: " + pending);
        }
        job.mWaiters.clear();
    }

    private void stopRunning(OwnedPartition partition, Job job) {
        for (SidecarView sidecar : mBoard.sidecarsOf(partition)) {
            for (int index = 0; index < job.tasks(); index++) {
                TaskKey key = new TaskKey(job.mRequest.id(), index);
                if (sidecar.mConnected && sidecar.mRunning.containsKey(key)) {
                    mBoard.mOutbox.stop(sidecar, partition, key);
                }
            }
        }
    }
}
