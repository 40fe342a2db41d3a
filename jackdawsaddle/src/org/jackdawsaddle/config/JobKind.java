package org.jackdawsaddle.config;

/**
 * A kind of job, with the properties that its jobs and tasks share.
 *
 * @param name the unique name among job kinds
 * @param service the service whose targets run the tasks
 * @param idempotent whether the task of a single-task job may run more than once; ignored for jobs
 *     with more tasks
 * @param maxTasks the maximum number of tasks per job
 * @param typicalMillis the run time of a task on a target of speed 1, for tasks without an
 *     estimate; a target of speed 0.5 takes twice as long
 * @param timeoutMillis the time from arrival to deadline for jobs with neither deadline nor timeout
 * @param demand the resources that a task needs on its target
 */
public record JobKind(
        String name,
        String service,
        boolean idempotent,
        int maxTasks,
        long typicalMillis,
        long timeoutMillis,
        Demand demand)
        implements NamedObject {

    /** Replaces an absent demand by {@link Demand#NONE}. */
    public JobKind {
        demand = demand == null ? Demand.NONE : demand;
    }
}
