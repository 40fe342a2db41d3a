package org.jackdawsaddle.internal.dispatch;

/** The order in which waiting jobs are served. */
public enum QueueOrder {
    /** By arrival. */
    FIRST_COME,
    /** By arrival plus a share of the job's own work, so that small jobs pass large ones. */
    SMALL_JOBS_FIRST,
    /** By the deadline of the job. */
    EARLIEST_DEADLINE;

    private static final double WORK_WEIGHT = 0.05;

    /** Returns the key by which a job is sorted, in milliseconds; lower keys go first. */
    long priority(Job job) {
        return switch (this) {
            case FIRST_COME -> job.mArrivedAt;
            case SMALL_JOBS_FIRST -> job.mArrivedAt + (long) (WORK_WEIGHT * job.workMillis());
            case EARLIEST_DEADLINE -> job.deadline();
        };
    }
}
