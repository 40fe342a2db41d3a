package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.internal.message.TaskResult;
import org.jackdawsaddle.internal.target.FailureRatios;
import org.jackdawsaddle.internal.target.SpeedModel;

/** Takes what sidecars say of tasks: answers, failures and refusals. */
final class ResultController {
    private static final int MAX_ATTEMPTS = 3;
    private static final long REFUSED_PAUSE_MILLIS = 50;
    private static final long UNREACHABLE_PAUSE_MILLIS = 1_000;
    private static final double BLAME_RATIO = 0.5;
    private static final double MICROS_PER_MILLI = 1_000.0;

    private final EntryBoard mBoard;
    private final SpeedModel mSpeeds;
    private final RetryBudget mRetries;
    private final JobEnder mEnder;
    private final FailureRatios mFailureRatios = new FailureRatios();

    ResultController(EntryBoard board, SpeedModel speeds, RetryBudget retries, JobEnder ender) {
        mBoard = board;
        mSpeeds = speeds;
        mRetries = retries;
        mEnder = ender;
    }

    void onResults(OwnedPartition partition, SidecarView sidecar, List<TaskResult> results) {
        for (TaskResult result : results) {
            onResult(partition, sidecar, result);
        }
    }

    /** Gives up the tasks of a sidecar whose process has ended; what they did is not known. */
    void onSidecarDead(OwnedPartition partition, SidecarView sidecar) {
        for (RunningTask task : List.copyOf(sidecar.mRunning.values())) {
            sidecar.remove(task.key());
            fail(partition, sidecar, task, ErrorCode.TARGET_LOST, sidecar.mHello.target());
        }
    }

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
                blame(sidecar, task);
                fail(partition, sidecar, task, ErrorCode.TASK_FAILED, result.body());
            }
            case NOT_RUN -> refused(partition, sidecar, task, result.refusal());
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
        mBoard.count(EntryCounter.TASKS_COMPLETED);
        mRetries.succeeded();
        sidecar.mHealth.recordSuccess();
        mFailureRatios.recordOutcome(sidecar.node(), job.mKind.name(), 0);
        double runMillis = result.runMicros() / MICROS_PER_MILLI;
        mSpeeds.observe(sidecar.mSpeed, job.mKind.name(), task.expectedMillis(), runMillis);
        if (!job.ended() && job.completed(result.task().index(), result.body())) {
            mEnder.end(partition, job, job.whole());
        }
    }

    private void blame(SidecarView sidecar, RunningTask task) {
        mBoard.count(EntryCounter.TASKS_FAILED);
        if (task.job().ended()) {
            return;
        }
        String kind = task.job().mKind.name();
        boolean blamable = mFailureRatios.meanRatioElsewhere(sidecar.node(), kind) < BLAME_RATIO;
        mFailureRatios.recordOutcome(sidecar.node(), kind, 1);
        if (sidecar.mHealth.recordFailure(task.key().id(), blamable, mBoard.mNow)) {
            mBoard.count(EntryCounter.PROBATIONS);
        }
    }

    /** Forgets what is known of a sidecar's failures. */
    void forget(NodeId sidecar) {
        mFailureRatios.remove(sidecar);
    }

    private void fail(
            OwnedPartition partition,
            SidecarView sidecar,
            RunningTask task,
            ErrorCode code,
            String detail) {
        Job job = task.job();
        if (job.ended()) {
            return;
        }
        job.mTried.add(sidecar.node());
        if (mayRetry(partition, job)) {
            mBoard.count(EntryCounter.REQUESTS_RETRIED);
            job.mAttempts++;
            job.retry(task.key().index());
            partition.mBook.queue(job.mKind.service()).putBack(job);
            return;
        }
        job.failed(task.key().index());
        mEnder.fail(partition, job, code, detail);
    }

    private boolean mayRetry(OwnedPartition partition, Job job) {
        boolean untried =
                mBoard.sidecarsOf(partition).stream()
                        .filter(view -> view.mHello.service().equals(job.mKind.service()))
                        .filter(SidecarView::serving)
                        .anyMatch(view -> !job.mTried.contains(view.node()));
        if (!job.retriable() || !untried || job.mAttempts + 1 >= MAX_ATTEMPTS) {
            return false;
        }
        if (!mRetries.take()) {
            mBoard.count(EntryCounter.RETRIES_SUPPRESSED);
            return false;
        }
        return true;
    }

    private void refused(
            OwnedPartition partition,
            SidecarView sidecar,
            RunningTask task,
            TaskResult.Refusal refusal) {
        mBoard.count(EntryCounter.TASKS_REFUSED);
        long pause =
                refusal == TaskResult.Refusal.TARGET_UNREACHABLE
                        ? UNREACHABLE_PAUSE_MILLIS
                        : REFUSED_PAUSE_MILLIS;
        sidecar.mAvoidUntil = mBoard.mNow + pause;
        Job job = task.job();
        TaskKey key = task.key();
        if (!job.ended()) {
            job.notStarted(key.index());
            partition.mBook.queue(job.mKind.service()).putBack(job);
        }
    }
}
