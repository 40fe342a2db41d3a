package org.jackdawsaddle.internal.message;

import org.jackdawsaddle.job.SubmissionId;

/**
 * The identity of a task.
 *
 * @param id the submission id of the job
 * @param index the index of the task in its job, from 0
 */
public record TaskKey(SubmissionId id, int index) {}
