package org.jackdawsaddle.job;

/**
 * One task of a job.
 *
 * @param payload the input for the target, not interpreted by entries and sidecars
 * @param expectedMillis the caller's estimate of the run time on a target of speed 1 (a target of
 *     speed 0.5 takes twice as long), or 0 to use the typical run time of the job kind
 */
public record TaskRequest(String payload, long expectedMillis) {}
