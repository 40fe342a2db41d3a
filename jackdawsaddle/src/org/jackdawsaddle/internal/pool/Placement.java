package org.jackdawsaddle.internal.pool;

import java.util.Collection;
import java.util.Optional;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.pool.quarantine.Quarantine;
import org.jackdawsaddle.internal.target.SpeedModel;
import org.jackdawsaddle.pool.PoolStep;

/**
 * Chooses the sidecar for a task: the slowest one whose target ends it in time, so that fast
 * targets are left to tasks that need them, or else the fastest one; among equally fast ones that
 * with the most free cores. Sidecars where the task has not failed come before all others, and
 * among those the ones with the preferred label.
 *
 * <p>While a task could still end in time on some target, even on one that is full now, it gets no
 * target that would make it late: under load that capacity is left to tasks that are in time there.
 *
 * <p>Tasks of late jobs that have not started only get capacity that has been free for a while
 * without any entry claiming it, as other entries may have jobs that can still be in time.
 */
final class Placement {
    /** Time for the start to reach the target and for the result to come back. */
    private static final long OVERHEAD_MILLIS = 20;

    /** An answer is of no use to its caller after this multiple of the response time objective. */
    private static final int USEFUL_MULTIPLE = 3;

    private final SpeedModel mSpeeds;
    private final Quarantine mQuarantine;

    Placement(SpeedModel speeds, Quarantine quarantine) {
        mSpeeds = speeds;
        mQuarantine = quarantine;
    }

    /** Returns the expected run time of a task at speed 1, in milliseconds. */
    double expectedMillis(TaskState task) {
        return mSpeeds.expectedMillis(task.mJob.mQueue.name(), task.mStep.expectedMillis());
    }

    /**
     * Returns the sidecar on which to place a task now; empty if the task must wait.
     *
     * @param unclaimedOnly whether the task may only take capacity that no entry has claimed for a
     *     while, see {@link WaitingJob#yields}
     */
    Optional<SidecarView> choose(
            TaskState task, boolean unclaimedOnly, Collection<SidecarView> sidecars, long now) {
        double expectedMillis = expectedMillis(task);
        long dueAt = task.mJob.dueAt(expectedMillis);
        boolean inTimeOnly = inTimeSomewhere(task, sidecars, expectedMillis, dueAt - now);
        SidecarView best = null;
        for (SidecarView sidecar : sidecars) {
            if (eligible(task, sidecar, now)
                    && (!inTimeOnly || inTime(sidecar, expectedMillis, dueAt - now))
                    && (!unclaimedOnly || sidecar.fitsUnclaimedCapacity(task.mStep.demand()))
                    && (best == null || better(sidecar, best, expectedMillis, dueAt - now, task))) {
                best = sidecar;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns whether a task could end in time on some serving target, even if that is full now.
     */
    private boolean inTimeSomewhere(
            TaskState task,
            Collection<SidecarView> sidecars,
            double expectedMillis,
            long remainingMillis) {
        for (SidecarView sidecar : sidecars) {
            if (sidecar.serving()
                    && sidecar.watched()
                    && inTime(sidecar, expectedMillis, remainingMillis)
                    && couldRun(task.mJob, task.mStep, sidecar)
                    && admitted(task, sidecar)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a sidecar suits a task better than the best one so far. */
    private boolean better(
            SidecarView sidecar,
            SidecarView best,
            double expectedMillis,
            long remainingMillis,
            TaskState task) {
        boolean failed = task.mFailedAt.contains(sidecar.node());
        if (failed != task.mFailedAt.contains(best.node())) {
            return !failed;
        }
        boolean preferred = preferred(task, sidecar);
        if (preferred != preferred(task, best)) {
            return preferred;
        }
        boolean inTime = inTime(sidecar, expectedMillis, remainingMillis);
        if (inTime != inTime(best, expectedMillis, remainingMillis)) {
            return inTime;
        }
        int faster = Double.compare(sidecar.speed(), best.speed());
        if (faster != 0) {
            return inTime == faster < 0;
        }
        return sidecar.free().cores() > best.free().cores();
    }

    private static boolean inTime(
            SidecarView sidecar, double expectedMillis, long remainingMillis) {
        return expectedMillis / sidecar.conservativeSpeed() + OVERHEAD_MILLIS <= remainingMillis;
    }

    private static boolean preferred(TaskState task, SidecarView sidecar) {
        return task.mStep.preferredLabel().map(sidecar.mHello.labels()::contains).orElse(true);
    }

    /** Returns whether an idle target would be able to run the tasks of a step. */
    static boolean couldRun(ActiveJob job, PoolStep step, SidecarView sidecar) {
        return couldRun(job, step, sidecar, sidecar.mHello.capacity());
    }

    /** Returns whether a target would be able to run the tasks of a step with this capacity. */
    static boolean couldRun(ActiveJob job, PoolStep step, SidecarView sidecar, Demand capacity) {
        return sidecar.mHello.service().equals(job.mQueue.service())
                && step.requiredLabel().map(sidecar.mHello.labels()::contains).orElse(true)
                && step.demand().fitsIn(capacity);
    }

    private boolean eligible(TaskState task, SidecarView sidecar, long now) {
        return sidecar.usable(now)
                && couldRun(task.mJob, task.mStep, sidecar)
                && sidecar.fits(task.mStep.demand())
                && belowPerTargetLimit(task, sidecar)
                && admitted(task, sidecar)
                && !joinsSuspect(task, sidecar);
    }

    /** Returns whether the quarantine lets a task run on a target. */
    boolean admitted(TaskState task, SidecarView sidecar) {
        return mQuarantine.admits(task.mName, task.mJob.mQueue.name(), sidecar.node().name());
    }

    /** Returns whether a task is suspected of a crash and would share the target with another. */
    private boolean joinsSuspect(TaskState task, SidecarView sidecar) {
        return mQuarantine.suspected(task.mName)
                && sidecar.mPlacedRuns.values().stream()
                        .anyMatch(run -> mQuarantine.suspected(run.mTask.mName));
    }

    private static boolean belowPerTargetLimit(TaskState task, SidecarView sidecar) {
        int limit = task.mStep.maxPerTarget();
        return limit == 0
                || sidecar.mPlacedRuns.values().stream()
                                .filter(run -> run.mTask.mJob == task.mJob)
                                .filter(run -> run.mTask.mStepIndex == task.mStepIndex)
                                .count()
                        < limit;
    }

    /**
     * Returns whether a job would miss its response time objective even if all its tasks started
     * now.
     */
    boolean late(ActiveJob job, long now) {
        double longestMillis = longestTaskMillis(job);
        return now + longestMillis > job.dueAt(longestMillis);
    }

    /**
     * Returns whether the answer to a job would still be of use to its caller.
     *
     * @param startAt when all tasks of the job would start, in milliseconds since the epoch
     */
    boolean useful(ActiveJob job, long startAt) {
        double longestMillis = longestTaskMillis(job);
        long responseTimeObjectiveMillis = job.dueAt(longestMillis) - job.mFirstSentAt;
        return startAt + longestMillis
                <= job.mFirstSentAt + USEFUL_MULTIPLE * responseTimeObjectiveMillis;
    }

    /** Returns the expected work of a task at speed 1, in core milliseconds. */
    double expectedWork(TaskState task) {
        return expectedMillis(task) * task.mStep.demand().cores();
    }

    /** Returns the expected work of the tasks of a job that wait, in core milliseconds. */
    double waitingWork(ActiveJob job) {
        double work = 0;
        for (TaskState task : job.mTasks) {
            if (task.mPhase == TaskState.Phase.WAITING) {
                work += expectedWork(task);
            }
        }
        return work;
    }

    /**
     * Returns the expected run time of the longest task on a target of speed 1, in milliseconds.
     */
    double longestTaskMillis(ActiveJob job) {
        double longest = 0;
        for (PoolStep step : job.mJob.steps()) {
            longest =
                    Math.max(
                            longest,
                            mSpeeds.expectedMillis(job.mQueue.name(), step.expectedMillis()));
        }
        return longest;
    }
}
