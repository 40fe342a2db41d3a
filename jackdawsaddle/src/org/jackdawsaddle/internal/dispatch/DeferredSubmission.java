package org.jackdawsaddle.internal.dispatch;

import org.jackdawsaddle.job.JobRequest;

/**
 * A submission that waits for its partition to be sealed.
 *
 * @param request the job
 * @param waiter who waits for the answer
 */
record DeferredSubmission(JobRequest request, Waiter waiter) {}
