package org.jackdawsaddle.internal.dispatch;

import org.jackdawsaddle.job.JobRequest;

/**
 * A submission that is deferred until its partition is active.
 *
 * @param request the job
 * @param waiter the recipient of the answer
 */
record DeferredSubmission(JobRequest request, Waiter waiter) {}
