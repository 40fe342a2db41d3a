package org.jackdawsaddle.internal.pool;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.jackdawsaddle.internal.target.SpeedModel;
import org.jackdawsaddle.pool.PoolStep;

/**
 * Chooses the target of a task, which for late jobs has room that no entry has taken for a while,
 * as others may have jobs that can still be in time: the slowest that still ends it in time, so
 * that fast ones are left for tasks that need them, or else the one that ends it first.
 */
final class Placement {
    /** What a start takes on its way to the target, and its end on the way back. */
    private static final long OVERHEAD_MILLIS = 20;

    /** An answer is of no use after this multiple of the wanted response time. */
    private static final int USEFUL_MULTIPLE = 3;

    private final SpeedModel mSpeeds;

    Placement(SpeedModel speeds) {
        mSpeeds = speeds;
    }

    double expectedMillis(TaskState task) {
        return mSpeeds.expectedMillis(task.mJob.mQueue.name(), task.mStep.expectedMillis());
    }

    Optional<SidecarSeat> choose(TaskState task, Collection<SidecarSeat> seats, long now) {
        double expected = expectedMillis(task);
        long wantedEnd = task.mJob.wantedEnd(expected);
        boolean late = late(task.mJob, now);
        SidecarSeat best = null;
        for (SidecarSeat seat : seats) {
            if (eligible(task, seat, now)
                    && (!late || seat.fitsInLeftOvers(task.mStep.demand()))
                    && (best == null || better(seat, best, expected, wantedEnd - now, task))) {
                best = seat;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean better(
            SidecarSeat seat, SidecarSeat best, double expected, long left, TaskState task) {
        boolean failed = task.mFailedAt.contains(seat.node());
        if (failed != task.mFailedAt.contains(best.node())) {
            return !failed;
        }
        boolean near = near(task, seat);
        if (near != near(task, best)) {
            return near;
        }
        boolean inTime = inTime(seat, expected, left);
        if (inTime != inTime(best, expected, left)) {
            return inTime;
        }
        int faster = Double.compare(seat.mSpeed.speed(), best.mSpeed.speed());
        if (faster != 0) {
            return inTime == faster < 0;
        }
        return seat.free().cores() > best.free().cores();
    }

    private static boolean inTime(SidecarSeat seat, double expected, long left) {
        return expected / seat.mSpeed.conservativeSpeed() + OVERHEAD_MILLIS <= left;
    }

    private static boolean near(TaskState task, SidecarSeat seat) {
        return task.mStep.preferredLabel().map(seat.mHello.labels()::contains).orElse(true);
    }

    /** Returns whether a target could run the tasks of a step if nothing else ran there. */
    static boolean couldRun(ActiveJob job, PoolStep step, SidecarSeat seat) {
        return seat.mHello.service().equals(job.mQueue.service())
                && step.requiredLabel().map(seat.mHello.labels()::contains).orElse(true)
                && step.demand().fitsIn(seat.mHello.capacity());
    }

    private static boolean eligible(TaskState task, SidecarSeat seat, long now) {
        return seat.usable(now)
                && couldRun(task.mJob, task.mStep, seat)
                && seat.fits(task.mStep.demand())
                && belowStepLimit(task, seat);
    }

    private static boolean belowStepLimit(TaskState task, SidecarSeat seat) {
        int most = task.mStep.maxPerTarget();
        return most == 0
                || seat.mPlaced.values().stream()
                                .filter(run -> run.mTask.mJob == task.mJob)
                                .filter(run -> run.mTask.mStepNumber == task.mStepNumber)
                                .count()
                        < most;
    }

    /**
     * Orders jobs that can still be in time before those that are late, then by the priority of
     * their queues, then by arrival.
     */
    Comparator<ActiveJob> order(long now) {
        return Comparator.<ActiveJob, Boolean>comparing(job -> late(job, now))
                .thenComparingInt(job -> job.mQueue.priority())
                .thenComparingLong(job -> job.mSentAt);
    }

    /** Returns whether a job misses its wanted response time even if all of it started now. */
    boolean late(ActiveJob job, long now) {
        double longest = longestMillis(job);
        return now + longest > job.wantedEnd(longest);
    }

    /** Returns whether the answer to a job can still be of use to its caller. */
    boolean useful(ActiveJob job, long now) {
        double longest = longestMillis(job);
        long wanted = job.wantedEnd(longest) - job.mSentAt;
        return now + longest <= job.mSentAt + USEFUL_MULTIPLE * wanted;
    }

    /** Returns the expected run time of the longest task at the usual speed, in milliseconds. */
    double longestMillis(ActiveJob job) {
        return job.mTasks.stream().mapToDouble(this::expectedMillis).max().orElse(0);
    }
}
