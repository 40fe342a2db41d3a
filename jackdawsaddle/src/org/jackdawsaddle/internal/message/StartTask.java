package org.jackdawsaddle.internal.message;

import org.jackdawsaddle.config.Demand;

/**
 * A task to start.
 *
 * @param task the task
 * @param kind the job kind
 * @param payload what the target is given
 * @param remainingMillis the time left until the deadline; a span, since clocks differ
 * @param demand what the task needs
 */
public record StartTask(
        TaskKey task, String kind, String payload, long remainingMillis, Demand demand) {}
