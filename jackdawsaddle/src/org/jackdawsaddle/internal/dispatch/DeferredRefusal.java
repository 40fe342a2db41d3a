package org.jackdawsaddle.internal.dispatch;

import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;

/**
 * A refusal that is deferred until the lease is confirmed.
 *
 * @param request the job
 * @param waiter the recipient of the answer
 * @param answer the refusal
 * @param expiresAt the time in milliseconds since the epoch from which the waiter gets a failure
 *     instead, which states that the job may have run
 */
record DeferredRefusal(
        JobRequest request, Waiter waiter, JobAnswer.NotRun answer, long expiresAt) {}
