package org.jackdawsaddle.standin.load;

import java.util.List;

/**
 * A job of a workload.
 *
 * @param arrivalMillis its arrival, in milliseconds from the start of the workload
 * @param tasks its tasks
 */
public record WorkloadJob(double arrivalMillis, List<WorkloadTask> tasks) {
    /** Copies the list of tasks. */
    public WorkloadJob {
        tasks = List.copyOf(tasks);
    }
}
