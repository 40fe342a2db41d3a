package org.jackdawsaddle.config;

/**
 * A kind of job, with the properties that its jobs and tasks share.
 *
 * @param name the unique name among job kinds
 * @param service the service whose targets run the tasks
 * @param idempotent whether the task of a job with a single task may run more than once
 * @param maxTasks the maximum number of tasks per job
 * @param typicalMillis the expected run time of a task at speed 1
 * @param timeoutMillis the time from arrival to deadline for jobs that specify no deadline
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
