package org.jackdawsaddle.internal.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Predicts how long waiting jobs will wait, and which of them cannot be served while their answer
 * is of use.
 *
 * <p>Answers load beyond capacity, steady or in bursts. Jobs of higher priority and those that can
 * still be in time go first, so each class of jobs only gets what the classes before it leave. The
 * rate at which this entry has lately placed work of a class tells how soon the queue of that class
 * empties; it includes what targets really do and what other entries take.
 */
final class QueueForecast {
    /** How far back placed work counts. */
    private static final long WINDOW_MILLIS = 1_000;

    /** The least rate assumed for all work, as a part of the entry's share of the cores. */
    private static final double MIN_RATE_OF_SHARE = 0.3;

    /** The least rate assumed for a class of jobs, as a part of the rate of all work. */
    private static final double MIN_RATE_OF_CLASS = 0.1;

    /** Jobs that are dispatched one after the other. */
    private record JobClass(boolean late, int priority) {}

    /**
     * A job that cannot be served in time to be of use.
     *
     * @param job the job
     * @param waitMillis how long it would have to wait for capacity, in milliseconds
     */
    record Hopeless(ActiveJob job, long waitMillis) {}

    private final Placement mPlacement;

    /** Work that was placed, in core milliseconds at speed 1. */
    private final WindowedSum mPlacedWork = new WindowedSum(WINDOW_MILLIS);

    private final Map<JobClass, WindowedSum> mPlacedWorkByClass = new HashMap<>();

    QueueForecast(Placement placement) {
        mPlacement = placement;
    }

    /** Records that a task of a job was placed. */
    void recordPlaced(WaitingJob waiting, TaskState task, long now) {
        double work = mPlacement.expectedWork(task);
        mPlacedWork.add(work, now);
        mPlacedWorkByClass
                .computeIfAbsent(classOf(waiting), key -> new WindowedSum(WINDOW_MILLIS))
                .add(work, now);
    }

    /**
     * Returns the jobs that have not started and will not be served while their answer is of use.
     *
     * @param waiting the waiting jobs in the order of dispatch
     * @param coreShare the entry's share of the cores of the serving targets; 0 without any, which
     *     tells nothing about how long jobs will wait
     */
    List<Hopeless> hopeless(List<WaitingJob> waiting, double coreShare, long now) {
        double rate = Math.max(mPlacedWork.sum(now) / WINDOW_MILLIS, MIN_RATE_OF_SHARE * coreShare);
        if (rate <= 0) {
            return List.of();
        }
        Map<JobClass, Double> workAhead = new HashMap<>();
        List<Hopeless> hopeless = new ArrayList<>();
        for (WaitingJob job : waiting) {
            JobClass jobClass = classOf(job);
            long waitMillis = waitMillis(jobClass, workAhead, rate, now);
            if (!job.late() && mPlacement.late(job.job(), now + waitMillis)) {
                JobClass lateClass = new JobClass(true, jobClass.priority());
                waitMillis = Math.max(waitMillis, waitMillis(lateClass, workAhead, rate, now));
            }
            if (!job.started() && !mPlacement.useful(job.job(), now + waitMillis)) {
                hopeless.add(new Hopeless(job.job(), waitMillis));
            } else {
                workAhead.merge(jobClass, mPlacement.waitingWork(job.job()), Double::sum);
            }
        }
        return hopeless;
    }

    private long waitMillis(
            JobClass jobClass, Map<JobClass, Double> workAhead, double rate, long now) {
        WindowedSum placed = mPlacedWorkByClass.get(jobClass);
        double placedRate = placed == null ? 0 : placed.sum(now) / WINDOW_MILLIS;
        double classRate = Math.max(placedRate, MIN_RATE_OF_CLASS * rate);
        return Math.round(workAhead.getOrDefault(jobClass, 0.0) / classRate);
    }

    private static JobClass classOf(WaitingJob waiting) {
        return new JobClass(waiting.yields(), waiting.job().mQueue.priority());
    }
}
