package org.jackdawsaddle.internal.dispatch;

import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.SubmissionId;

/**
 * What is kept of a job after its end, so that a resubmission starts nothing.
 *
 * @param id the submission
 * @param fingerprint tells whether a resubmission asks for the same work
 * @param answer the answer, or that it is no longer kept
 */
record EndedJob(SubmissionId id, long fingerprint, JobAnswer answer) {}
