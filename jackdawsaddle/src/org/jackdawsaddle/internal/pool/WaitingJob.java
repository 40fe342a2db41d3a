package org.jackdawsaddle.internal.pool;

import java.util.Comparator;

/**
 * A job with a task that waits for capacity, in the order of dispatch: jobs that can still meet
 * their response time objective before late ones, then by the priority of the queue, then by when
 * the caller first sent the job.
 *
 * @param job the job
 * @param late whether the job would miss its response time objective even if all its tasks started
 *     now
 */
record WaitingJob(ActiveJob job, boolean late) implements Comparable<WaitingJob> {
    private static final Comparator<WaitingJob> DISPATCH_ORDER =
            Comparator.comparing(WaitingJob::late)
                    .thenComparingInt(waiting -> waiting.job().mQueue.priority())
                    .thenComparingLong(waiting -> waiting.job().mFirstSentAt);

    @Override
    public int compareTo(WaitingJob other) {
        return DISPATCH_ORDER.compare(this, other);
    }
}
