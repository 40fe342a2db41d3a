package org.jackdawsaddle.internal.pool;

import org.jackdawsaddle.internal.runtime.LatencyHistogram;
import org.jackdawsaddle.internal.runtime.MetricsRegistry;

/**
 * Histograms of how long tasks waited for their first run, of how long runs took, and of how long
 * the runs of ended jobs went on.
 */
public final class TaskDurations {
    private final LatencyHistogram mWaits =
            new LatencyHistogram(
                    "jackdawsaddle_task_wait_seconds",
                    "From a job's arrival to a task's first order");
    private final LatencyHistogram mRuns =
            new LatencyHistogram(
                    "jackdawsaddle_run_seconds", "From the order of a run to the news of its end");

    private final LatencyHistogram mStops =
            new LatencyHistogram(
                    "jackdawsaddle_stop_seconds",
                    "From the end of a job with active runs to the news that the last has ended");

    /** Records that a run was placed; only the first run of a task counts. */
    void recordPlaced(TaskState task, long now) {
        if (task.mLastRunNumber == 1) {
            mWaits.observeMillis(now - task.mJob.mArrivedAt, "placed");
        }
    }

    /** Records the time from the placement of a run to the report of its end. */
    void recordEnded(PlacedRun placed, String outcome, long now) {
        mRuns.observeMillis(now - placed.mPlacedAt, outcome);
    }

    /** Records the time from the end of a job to the report of the end of its last run. */
    void recordStopped(long millis) {
        mStops.observeMillis(millis, "stopped");
    }

    /** Adds the histograms to the metrics. */
    public void addTo(MetricsRegistry metrics) {
        mWaits.addTo(metrics);
        mRuns.addTo(metrics);
        mStops.addTo(metrics);
    }
}
