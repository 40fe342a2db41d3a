package org.jackdawsaddle.internal.dispatch;

import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;

/**
 * A refusal that waits for the lease to be confirmed.
 *
 * @param request the job
 * @param waiter who waits for the answer
 * @param answer the refusal
 * @param expiresAt when to give up and tell that the job may have run
 */
record DeferredRefusal(
        JobRequest request, Waiter waiter, JobAnswer.NotRun answer, long expiresAt) {}
