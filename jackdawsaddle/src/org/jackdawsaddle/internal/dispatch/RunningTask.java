package org.jackdawsaddle.internal.dispatch;

import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.TaskKey;

/**
 * A task that a sidecar was asked to start, or has reported as running, and that is not known to
 * have ended.
 *
 * @param key the key of the task
 * @param job the job of the task
 * @param expectedMillis the run time at speed 1, in milliseconds, as given by {@link
 *     Job#expectedMillis}
 * @param demand the resources that the task holds
 */
record RunningTask(TaskKey key, Job job, long expectedMillis, Demand demand) {}
