package org.jackdawsaddle.pool;

import java.util.List;

/**
 * A job that is not persisted: its caller waits for the answer, and sends the job again if none
 * comes.
 *
 * @param id chosen by the caller, without dots; the same in each request for the job
 * @param queue the name of the queue that the job was sent to
 * @param payload passed to the targets with each task
 * @param steps the groups of tasks to run
 * @param deadline when the caller stops waiting, in milliseconds since the epoch
 */
public record PoolJob(
        String id, String queue, String payload, List<PoolStep> steps, long deadline) {

    /** Takes an unmodifiable copy of the list. */
    public PoolJob {
        steps = List.copyOf(steps);
    }

    /** Returns the same job with another deadline. */
    public PoolJob withDeadline(long newDeadline) {
        return new PoolJob(id, queue, payload, steps, newDeadline);
    }

    /** Returns the number of tasks of all steps. */
    public int taskCount() {
        return steps.stream().mapToInt(PoolStep::tasks).sum();
    }
}
