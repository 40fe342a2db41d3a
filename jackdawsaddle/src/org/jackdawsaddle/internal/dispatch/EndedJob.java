package org.jackdawsaddle.internal.dispatch;

import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.SubmissionId;

/**
 * A job that has ended, kept so that a resubmission starts nothing.
 *
 * @param id the submission id of the job
 * @param fingerprint the fingerprint of the request, which reveals a resubmission with other work
 * @param answer the answer, or a failure with ANSWER_EXPIRED if the answer is no longer kept
 */
record EndedJob(SubmissionId id, long fingerprint, JobAnswer answer) {}
