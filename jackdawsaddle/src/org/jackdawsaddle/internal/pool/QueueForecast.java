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

    /** For so much of the window jobs of a class must have waited before its rate is known. */
    private static final long MIN_BACKLOG_MILLIS = 300;

    /** The least rate assumed for a class of jobs, as a part of the entry's share of the cores. */
    private static final double MIN_RATE_OF_SHARE = 0.03;

    /** Jobs that are dispatched one after the other. */
    private record JobClass(boolean late, int priority) {}

    /**
     * A job that should be refused, as it cannot be served in time to be of use.
     *
     * @param job the job
     * @param waitMillis how long it would have to wait for capacity, in milliseconds
     */
    record Refusal(ActiveJob job, long waitMillis) {}

    private final Placement mPlacement;

    /** What became of the jobs of a class in the latest window. */
    private static final class ClassHistory {
        /** Work that was placed, in core milliseconds at speed 1. */
        final WindowedSum mPlacedWork = new WindowedSum(WINDOW_MILLIS);

        /** For how long jobs have waited, in milliseconds. */
        final WindowedSum mBacklogMillis = new WindowedSum(WINDOW_MILLIS);
    }

    private final Map<JobClass, ClassHistory> mHistories = new HashMap<>();

    /** When {@link #refusals} was last called, in milliseconds since the epoch. */
    private long mLastForecastAt;

    QueueForecast(Placement placement) {
        mPlacement = placement;
    }

    /** Records that a task of a job was placed. */
    void recordPlaced(WaitingJob waiting, TaskState task, long now) {
        history(classOf(waiting)).mPlacedWork.add(mPlacement.expectedWork(task), now);
    }

    /**
     * Returns the jobs to refuse: those that have not started and will not be served while their
     * answer is of use.
     *
     * @param waiting the waiting jobs in the order of dispatch
     * @param coreShare the entry's share of the cores of the serving targets; 0 without any, which
     *     tells nothing about how long jobs will wait
     */
    List<Refusal> refusals(List<WaitingJob> waiting, double coreShare, long now) {
        recordBacklog(waiting, now);
        if (coreShare <= 0) {
            return List.of();
        }
        Map<JobClass, Double> workAhead = new HashMap<>();
        List<Refusal> refusals = new ArrayList<>();
        for (WaitingJob job : waiting) {
            JobClass jobClass = classOf(job);
            long waitMillis = waitMillis(jobClass, workAhead, coreShare, now);
            if (!job.late() && mPlacement.late(job.job(), now + waitMillis)) {
                JobClass lateClass = new JobClass(true, jobClass.priority());
                waitMillis = Math.max(waitMillis, waitMillis(lateClass, workAhead, coreShare, now));
            }
            if (!job.started() && !mPlacement.useful(job.job(), now + waitMillis)) {
                refusals.add(new Refusal(job.job(), waitMillis));
            } else {
                workAhead.merge(jobClass, mPlacement.waitingWork(job.job()), Double::sum);
            }
        }
        return refusals;
    }

    /** Adds the time since the last forecast to the backlog of each class with waiting jobs. */
    private void recordBacklog(List<WaitingJob> waiting, long now) {
        long elapsedMillis = Math.min(now - mLastForecastAt, PoolTiming.TICK_INTERVAL_MILLIS);
        mLastForecastAt = now;
        waiting.stream()
                .map(QueueForecast::classOf)
                .distinct()
                .forEach(jobClass -> history(jobClass).mBacklogMillis.add(elapsedMillis, now));
    }

    private long waitMillis(
            JobClass jobClass, Map<JobClass, Double> workAhead, double coreShare, long now) {
        double rate = Math.max(rate(jobClass, coreShare, now), MIN_RATE_OF_SHARE * coreShare);
        return Math.round(workAhead.getOrDefault(jobClass, 0.0) / rate);
    }

    /** Returns the cores that work for a class; the whole share while nothing else is known. */
    private double rate(JobClass jobClass, double coreShare, long now) {
        ClassHistory history = history(jobClass);
        return history.mBacklogMillis.sum(now) < MIN_BACKLOG_MILLIS
                ? coreShare
                : history.mPlacedWork.sum(now) / WINDOW_MILLIS;
    }

    private ClassHistory history(JobClass jobClass) {
        return mHistories.computeIfAbsent(jobClass, key -> new ClassHistory());
    }

    private static JobClass classOf(WaitingJob waiting) {
        return new JobClass(waiting.yields(), waiting.job().mQueue.priority());
    }
}
