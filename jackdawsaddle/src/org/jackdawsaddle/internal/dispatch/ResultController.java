package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.internal.message.TaskResult;
import org.jackdawsaddle.internal.target.FailureRatios;
import org.jackdawsaddle.internal.target.SpeedModel;

/** Handles the task results that sidecars report: answers, failures and refusals. */
final class ResultController {
    /** How often an idempotent request is tried in all. */
    private static final int MAX_ATTEMPTS = 3;

    private static final long REFUSED_BACKOFF_MILLIS = 50;
    private static final long UNREACHABLE_BACKOFF_MILLIS = 1_000;

    /**
     * The failure ratio of a job kind on the other targets at which a failure is attributed to the
     * kind instead of the target.
     */
    private static final double MAX_FAILURE_RATIO_ELSEWHERE = 0.5;

    private static final double MICROS_PER_MILLI = 1_000.0;

    private final EntryState mState;
    private final SpeedModel mSpeeds;
    private final RetryBudget mRetryBudget;
    private final JobEnder mEnder;
    private final FailureRatios mFailureRatios = new FailureRatios();

    ResultController(EntryState state, SpeedModel speeds, RetryBudget retryBudget, JobEnder ender) {
        mState = state;
        mSpeeds = speeds;
        mRetryBudget = retryBudget;
        mEnder = ender;
    }

    void onResults(OwnedPartition partition, SidecarView sidecar, List<TaskResult> results) {
        for (TaskResult result : results) {
            onResult(partition, sidecar, result);
        }
    }

    /**
     * Handles the end of a sidecar's process: its tasks are retried if their jobs are retriable,
     * and else fail with TARGET_LOST, since it is unknown whether they have run.
     */
    void onSidecarEnded(OwnedPartition partition, SidecarView sidecar) {
        for (RunningTask task : List.copyOf(sidecar.mRunning.values())) {
            sidecar.remove(task.key());
            retryOrFail(partition, sidecar, task, ErrorCode.TARGET_LOST, sidecar.mHello.target());
        }
    }

    /** Handles a result. Ignores it if the task is still running or not known here. */
    private void onResult(OwnedPartition partition, SidecarView sidecar, TaskResult result) {
        if (!result.ended()) {
            return;
        }
        RunningTask task = sidecar.remove(result.task());
        if (task == null) {
            return;
        }
        switch (result.state()) {
            case COMPLETED -> complete(partition, sidecar, task, result);
            case FAILED -> {
                recordFailure(sidecar, task);
                retryOrFail(partition, sidecar, task, ErrorCode.TASK_FAILED, result.body());
            }
            case NOT_RUN -> onRefused(partition, sidecar, task, result.refusal());
            default ->
                    mEnder.fail(
                            partition,
                            task.job(),
                            ErrorCode.ANSWER_EXPIRED,
                            sidecar.mHello.target());
        }
    }

    private void complete(
            OwnedPartition partition, SidecarView sidecar, RunningTask task, TaskResult result) {
        Job job = task.job();
        mState.count(EntryCounter.TASKS_COMPLETED);
        mRetryBudget.recordSuccess();
        sidecar.mHealth.recordSuccess();
        mFailureRatios.recordOutcome(sidecar.node(), job.mKind.name(), 0);
        double runMillis = result.runMicros() / MICROS_PER_MILLI;
        mSpeeds.observe(sidecar.mSpeed, job.mKind.name(), task.expectedMillis(), runMillis);
        if (!job.ended() && job.markCompleted(result.task().index(), result.body())) {
            mEnder.end(partition, job, job.completeAnswer());
        }
    }

    /**
     * Updates the health and the failure ratio of a target after a failure. Failures of tasks whose
     * job has ended are only counted.
     */
    private void recordFailure(SidecarView sidecar, RunningTask task) {
        mState.count(EntryCounter.TASKS_FAILED);
        if (task.job().ended()) {
            return;
        }
        String kind = task.job().mKind.name();
        boolean targetAtFault =
                mFailureRatios.meanRatioElsewhere(sidecar.node(), kind)
                        < MAX_FAILURE_RATIO_ELSEWHERE;
        mFailureRatios.recordOutcome(sidecar.node(), kind, 1);
        if (sidecar.mHealth.recordFailure(task.key().id(), targetAtFault, mState.mNow)) {
            mState.count(EntryCounter.PROBATIONS);
        }
    }

    /** Forgets the failure ratios of a sidecar. */
    void forget(NodeId sidecar) {
        mFailureRatios.remove(sidecar);
    }

    /** Queues a failed task again if it may be retried, else ends its job as failed. */
    private void retryOrFail(
            OwnedPartition partition,
            SidecarView sidecar,
            RunningTask task,
            ErrorCode code,
            String detail) {
        Job job = task.job();
        if (job.ended()) {
            return;
        }
        job.mTriedSidecars.add(sidecar.node());
        if (mayRetry(partition, job)) {
            mState.count(EntryCounter.REQUESTS_RETRIED);
            job.mRetryCount++;
            job.retry(task.key().index());
            partition.mJobs.queue(job.mKind.service()).putBack(job);
            return;
        }
        job.markFailed(task.key().index());
        mEnder.fail(partition, job, code, detail);
    }

    /** Returns whether a failed task may be retried; if so, takes the retry from the budget. */
    private boolean mayRetry(OwnedPartition partition, Job job) {
        boolean untriedTarget =
                mState.sidecarsOf(partition).stream()
                        .filter(view -> view.mHello.service().equals(job.mKind.service()))
                        .filter(SidecarView::serving)
                        .anyMatch(view -> !job.mTriedSidecars.contains(view.node()));
        if (!job.retriable() || !untriedTarget || job.mRetryCount + 1 >= MAX_ATTEMPTS) {
            return false;
        }
        if (!mRetryBudget.tryTake()) {
            mState.count(EntryCounter.RETRIES_SUPPRESSED);
            return false;
        }
        return true;
    }

    /**
     * Queues a task again that its sidecar has refused; the sidecar gets no tasks until a backoff
     * has passed.
     */
    private void onRefused(
            OwnedPartition partition,
            SidecarView sidecar,
            RunningTask task,
            TaskResult.Refusal refusal) {
        mState.count(EntryCounter.TASKS_REFUSED);
        long backoff =
                refusal == TaskResult.Refusal.TARGET_UNREACHABLE
                        ? UNREACHABLE_BACKOFF_MILLIS
                        : REFUSED_BACKOFF_MILLIS;
        sidecar.mBackoffUntil = mState.mNow + backoff;
        Job job = task.job();
        TaskKey key = task.key();
        if (!job.ended()) {
            job.markNotStarted(key.index());
            partition.mJobs.queue(job.mKind.service()).putBack(job);
        }
    }
}
