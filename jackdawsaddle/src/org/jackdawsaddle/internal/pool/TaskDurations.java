package org.jackdawsaddle.internal.pool;

import org.jackdawsaddle.internal.runtime.LatencyHistogram;
import org.jackdawsaddle.internal.runtime.MetricsRegistry;

/** Histograms of how long tasks waited for their first run, and of how long runs took. */
public final class TaskDurations {
    private final LatencyHistogram mWaits =
            new LatencyHistogram(
                    "jackdawsaddle_task_wait_seconds",
                    "From a job's arrival to a task's first order");
    private final LatencyHistogram mRuns =
            new LatencyHistogram(
                    "jackdawsaddle_run_seconds", "From the order of a run to the news of its end");

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

    /** Adds both histograms to the metrics. */
    public void addTo(MetricsRegistry metrics) {
        mWaits.addTo(metrics);
        mRuns.addTo(metrics);
    }
}
