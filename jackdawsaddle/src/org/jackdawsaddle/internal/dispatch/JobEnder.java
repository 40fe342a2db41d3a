package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.job.JobAnswer;

/**
 * Ends jobs: releases their queue places and limits, stops the running tasks of failed jobs and
 * answers the waiters.
 */
final class JobEnder {
    private final EntryState mState;
    private final AnswerSender mAnswerSender;

    JobEnder(EntryState state, AnswerSender answerSender) {
        mState = state;
        mAnswerSender = answerSender;
    }

    /**
     * Ends a job whose deadline has passed: as not run if no task can have been started, else as
     * failed. A job that is not admitted yet is in doubt.
     */
    void expire(OwnedPartition partition, Job job) {
        String detail = job.completedCount() + " of " + job.taskCount() + " tasks had ended.";
        end(
                partition,
                job,
                job.mayHaveStarted() || !job.mAdmitted
                        ? new JobAnswer.Failed(ErrorCode.DEADLINE_EXCEEDED, detail)
                        : new JobAnswer.NotRun(ErrorCode.DEADLINE_PASSED, detail));
    }

    /** Ends a job that its caller has cancelled, as not run or failed like {@link #expire}. */
    void cancel(OwnedPartition partition, Job job) {
        String detail = job.completedCount() + " of " + job.taskCount() + " tasks had ended.";
        end(
                partition,
                job,
                job.mayHaveStarted() || !job.mAdmitted
                        ? new JobAnswer.Failed(ErrorCode.CANCELLED, detail)
                        : new JobAnswer.NotRun(ErrorCode.CANCELLED, detail));
    }

    /** Ends a job with a failure unless it has ended already. */
    void fail(OwnedPartition partition, Job job, ErrorCode code, String detail) {
        if (!job.ended()) {
            end(partition, job, new JobAnswer.Failed(code, detail));
        }
    }

    /**
     * Ends a job with the given answer.
     *
     * @throws IllegalArgumentException if the answer is {@link JobAnswer.Pending}
     */
    void end(OwnedPartition partition, Job job, JobAnswer answer) {
        List<Waiter> waiters = List.copyOf(job.mWaiters);
        partition.mJobs.end(job, answer);
        switch (answer) {
            case JobAnswer.Complete complete -> {
                mState.count(EntryCounter.JOBS_COMPLETED);
                waiters.forEach(waiter -> mAnswerSender.send(waiter, complete));
            }
            case JobAnswer.NotRun notRun -> {
                mState.count(EntryCounter.JOBS_NOT_RUN);
                waiters.forEach(waiter ->
                        mAnswerSender.sendRefusal(partition, job.mRequest, waiter, notRun));
            }
            case JobAnswer.Failed failed -> {
                mState.count(EntryCounter.JOBS_FAILED);
                stopRunning(partition, job);
                waiters.forEach(waiter -> mAnswerSender.send(waiter, failed));
            }
            case JobAnswer.Pending pending ->
                    throw new IllegalArgumentException(
                            "A pending answer does not end a job: " + pending);
        }
        job.mWaiters.clear();
    }

    private void stopRunning(OwnedPartition partition, Job job) {
        for (SidecarView sidecar : mState.sidecarsOf(partition)) {
            for (int index = 0; index < job.taskCount(); index++) {
                TaskKey key = new TaskKey(job.mRequest.id(), index);
                if (sidecar.mConnected && sidecar.mRunning.containsKey(key)) {
                    mState.mOutbox.stop(sidecar, partition, key);
                }
            }
        }
    }
}
