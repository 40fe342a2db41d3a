package org.jackdawsaddle.internal.pool;

import java.util.Comparator;

/**
 * A job with a task that waits for capacity, in the order of dispatch: jobs that have started
 * first; then jobs that can still meet their response time objective before late ones; then by the
 * priority of the queue, and by when the caller first sent the job.
 *
 * @param job the job
 * @param late whether the job would miss its response time objective even if all its tasks started
 *     now
 */
record WaitingJob(ActiveJob job, boolean late) implements Comparable<WaitingJob> {
    private static final Comparator<WaitingJob> DISPATCH_ORDER =
            Comparator.<WaitingJob, Boolean>comparing(waiting -> !waiting.started())
                    .thenComparing(WaitingJob::late)
                    .thenComparingInt(waiting -> waiting.job().mQueue.priority())
                    .thenComparingLong(waiting -> waiting.job().mFirstSentAt);

    /** Returns whether the job has runs or ended tasks, whose work is lost if it ends too late. */
    boolean started() {
        return job.everPlaced();
    }

    /**
     * Returns whether the job may only take capacity that no entry has claimed for a while: it is
     * late, so other jobs should go first, and nothing is lost if it waits.
     */
    boolean yields() {
        return late && !started();
    }

    @Override
    public int compareTo(WaitingJob other) {
        return DISPATCH_ORDER.compare(this, other);
    }
}
