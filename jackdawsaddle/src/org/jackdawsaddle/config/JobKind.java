package org.jackdawsaddle.config;

/**
 * A kind of job.
 *
 * @param name the unique name among job kinds
 * @param service the service whose targets run it
 * @param idempotent whether a request of one task may run more than once
 * @param maxTasks the most tasks of one job
 * @param typicalMillis the expected run time of a task at speed 1
 * @param timeoutMillis the deadline of a job that names none, counted from its arrival
 * @param demand what one task needs on its target
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

    /** Replaces an absent demand by none. */
    public JobKind {
        demand = demand == null ? Demand.NONE : demand;
    }
}
