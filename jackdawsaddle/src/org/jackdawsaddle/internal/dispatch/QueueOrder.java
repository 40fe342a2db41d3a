package org.jackdawsaddle.internal.dispatch;

/** The order in which queued jobs are served; jobs with equal keys are served by submission id. */
public enum QueueOrder {
    /** By the time of arrival at the owner. */
    FIRST_COME,
    /**
     * By arrival time plus a share of the expected run time of all tasks of the job, so that small
     * jobs overtake large ones.
     */
    SMALL_JOBS_FIRST,
    /** By the deadline of the job. */
    EARLIEST_DEADLINE;

    /** The share of the expected run time that is added to the arrival time. */
    private static final double WORK_WEIGHT = 0.05;

    /** Returns the sort key of a job, in milliseconds since the epoch; lower is served first. */
    long sortKey(Job job) {
        return switch (this) {
            case FIRST_COME -> job.mArrivedAt;
            case SMALL_JOBS_FIRST -> job.mArrivedAt + (long) (WORK_WEIGHT * job.workMillis());
            case EARLIEST_DEADLINE -> job.deadline();
        };
    }
}
