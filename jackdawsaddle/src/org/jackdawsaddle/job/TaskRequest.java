package org.jackdawsaddle.job;

/**
 * One task of a job.
 *
 * @param payload the input for the target, opaque to the dispatcher
 * @param expectedMillis the caller's estimate of the run time at speed 1, or 0 if it has none
 */
public record TaskRequest(String payload, long expectedMillis) {}
