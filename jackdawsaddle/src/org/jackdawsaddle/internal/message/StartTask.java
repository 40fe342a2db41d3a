package org.jackdawsaddle.internal.message;

import org.jackdawsaddle.config.Demand;

/**
 * A request to start one task.
 *
 * @param task the identity of the task
 * @param kind the job kind
 * @param payload the input of the task, passed to the target as request body
 * @param remainingMillis the time left until the deadline when the request is sent; relative,
 *     because clocks differ
 * @param demand the resources that the task needs
 */
public record StartTask(
        TaskKey task, String kind, String payload, long remainingMillis, Demand demand) {}
