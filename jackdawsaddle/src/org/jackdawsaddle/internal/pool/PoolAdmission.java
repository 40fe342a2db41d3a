package org.jackdawsaddle.internal.pool;

import java.util.Optional;
import org.jackdawsaddle.pool.PoolAnswer;

/** Decides whether the targets could run a job, and how many cores an entry may count on. */
final class PoolAdmission {
    /** The reason of answers to jobs that cannot end before the process stops. */
    static final String SHUTTING_DOWN = "shutting down";

    private final PoolEntryState mState;
    private final Placement mPlacement;

    PoolAdmission(PoolEntryState state, Placement placement) {
        mState = state;
        mPlacement = placement;
    }

    /** Returns the answer to a job that must not be admitted; empty to admit it. */
    Optional<PoolAnswer> refusalFor(ActiveJob job) {
        if (job.mTasks.isEmpty()) {
            return Optional.of(new PoolAnswer.Failed("the job has no tasks"));
        }
        if (everyTaskCouldFit(job) && !everyTaskFitsNow(job)) {
            return Optional.of(refusal(job, "a task is larger than what targets have now"));
        }
        if (!endsBeforeShutdown(job)) {
            return Optional.of(refusal(job, SHUTTING_DOWN));
        }
        return job.mTasks.stream()
                .map(task -> task.mName)
                .filter(mState.mQuarantine::givenUp)
                .findFirst()
                .map(PoolAdmission::deadly);
    }

    /** Returns the answer to a job with a task under which too many targets have crashed. */
    static PoolAnswer deadly(String task) {
        return new PoolAnswer.Failed("task " + task + " crashed every target that started it");
    }

    private static PoolAnswer refusal(ActiveJob job, String reason) {
        return new PoolAnswer.Refused(reason, RetryDelay.millis(job.mJob.id(), 0));
    }

    /** Returns whether a job that started now is expected to end before the process stops. */
    boolean endsBeforeShutdown(ActiveJob job) {
        return mState.mNow + mPlacement.longestTaskMillis(job) <= mState.mWorkDeadline;
    }

    /**
     * Returns whether every task of a job would fit at least one known target when idle, with the
     * most capacity that the target has had: a shrunk capacity may grow again.
     */
    boolean everyTaskCouldFit(ActiveJob job) {
        return job.mJob.steps().stream()
                .allMatch(step ->
                        mState.mSidecars.values().stream()
                                .anyMatch(sidecar ->
                                        Placement.couldRun(
                                                job, step, sidecar, sidecar.largestCapacity())));
    }

    private boolean everyTaskFitsNow(ActiveJob job) {
        return job.mJob.steps().stream()
                .allMatch(step ->
                        mState.mSidecars.values().stream()
                                .anyMatch(sidecar -> Placement.couldRun(job, step, sidecar)));
    }

    /** Returns whether any target of a job's service is known. */
    boolean knowsTargetOf(ActiveJob job) {
        String service = job.mQueue.service();
        return mState.mSidecars.values().stream()
                .anyMatch(sidecar -> sidecar.mHello.service().equals(service));
    }

    /**
     * Returns this entry's share of the cores of all serving targets; it is equal for this entry
     * and each connected one.
     */
    double coreShare() {
        double cores = 0;
        for (SidecarView sidecar : mState.mSidecars.values()) {
            if (sidecar.serving()) {
                cores += sidecar.mHello.capacity().cores();
            }
        }
        return cores / (1 + mState.mPeerNames.size());
    }
}
