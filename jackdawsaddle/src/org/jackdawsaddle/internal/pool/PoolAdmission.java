package org.jackdawsaddle.internal.pool;

import java.util.Optional;
import org.jackdawsaddle.pool.PoolAnswer;

/** Decides on arrival whether a job can be completed while its answer is of use to the caller. */
final class PoolAdmission {
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
        return refusalIfOverloaded(job);
    }

    /** Returns whether every task of a job would fit at least one known target when idle. */
    boolean everyTaskFits(ActiveJob job) {
        return job.mJob.steps().stream()
                .allMatch(step ->
                        mState.mSidecars.values().stream()
                                .anyMatch(sidecar -> Placement.couldRun(job, step, sidecar)));
    }

    /**
     * Returns this entry's share of the cores of all serving targets of a job's service; it is
     * equal for this entry and each connected one.
     */
    private double coreShare(ActiveJob job) {
        double cores = 0;
        for (SidecarView sidecar : mState.mSidecars.values()) {
            if (sidecar.serving() && sidecar.mHello.service().equals(job.mQueue.service())) {
                cores += sidecar.mHello.capacity().cores();
            }
        }
        return cores / (1 + mState.mPeerNames.size());
    }

    /**
     * Refuses a job whose answer would come too late after the jobs that wait with the same or a
     * more urgent priority. Returns empty if no such job waits, or while the total capacity is
     * unknown.
     */
    private Optional<PoolAnswer> refusalIfOverloaded(ActiveJob job) {
        double cores = coreShare(job);
        if (cores <= 0 || mState.mTimeline.discovering()) {
            return Optional.empty();
        }
        double workAhead = 0;
        for (ActiveJob other : mState.mJobs.values()) {
            if (other.hasStartableTask() && other.mQueue.priority() <= job.mQueue.priority()) {
                workAhead += other.declaredWork();
            }
        }
        long waitMillis = Math.round(workAhead / cores);
        if (workAhead == 0 || mPlacement.useful(job, mState.mNow + waitMillis)) {
            return Optional.empty();
        }
        return Optional.of(new PoolAnswer.Refused("overloaded", waitMillis));
    }
}
