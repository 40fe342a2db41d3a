package org.jackdawsaddle.standin.load;

import java.util.List;

/**
 * A job of a workload.
 *
 * @param arrivalMillis its arrival, in milliseconds from the start of the run
 * @param tasks its tasks
 */
public record TraceJob(double arrivalMillis, List<TraceTask> tasks) {
    /** Copies the list of tasks. */
    public TraceJob {
        tasks = List.copyOf(tasks);
    }
}
