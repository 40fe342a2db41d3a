package org.jackdawsaddle.internal.pool;

import java.util.Optional;
import org.jackdawsaddle.pool.PoolAnswer;

/** Decides at once whether a job can be served in a time that is of use to its caller. */
final class PoolAdmission {
    private final PoolBoard mBoard;
    private final Placement mPlacement;

    PoolAdmission(PoolBoard board, Placement placement) {
        mBoard = board;
        mPlacement = placement;
    }

    /** Returns the answer to a job that is not taken. */
    Optional<PoolAnswer> check(ActiveJob job) {
        if (job.mTasks.isEmpty()) {
            return Optional.of(new PoolAnswer.Failed("the job has no tasks"));
        }
        return overloaded(job);
    }

    /** Returns whether every task of a job fits some target that is known. */
    boolean fits(ActiveJob job) {
        return job.mJob.steps().stream()
                .allMatch(step ->
                        mBoard.mSeats.values().stream()
                                .anyMatch(seat -> Placement.couldRun(job, step, seat)));
    }

    /** Returns the cores of the service's targets that fall to this entry among its peers. */
    private double ownCores(ActiveJob job) {
        double cores = 0;
        for (SidecarSeat seat : mBoard.mSeats.values()) {
            if (seat.serving() && seat.mHello.service().equals(job.mQueue.service())) {
                cores += seat.mHello.capacity().cores();
            }
        }
        return cores / (1 + mBoard.mPeers);
    }

    private Optional<PoolAnswer> overloaded(ActiveJob job) {
        double cores = ownCores(job);
        if (cores <= 0 || mBoard.mTime.settling()) {
            return Optional.empty();
        }
        double ahead = 0;
        for (ActiveJob other : mBoard.mJobs.values()) {
            if (other.waiting() && other.mQueue.priority() <= job.mQueue.priority()) {
                ahead += other.work();
            }
        }
        long wait = Math.round(ahead / cores);
        if (ahead == 0 || mPlacement.useful(job, mBoard.mNow + wait)) {
            return Optional.empty();
        }
        return Optional.of(new PoolAnswer.Refused("overloaded", wait));
    }
}
