package org.jackdawsaddle.internal.message;

import org.jackdawsaddle.job.SubmissionId;

/**
 * The identity of a task.
 *
 * @param id the submission
 * @param index the place of the task in its job, from 0
 */
public record TaskKey(SubmissionId id, int index) {}
