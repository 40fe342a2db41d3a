package org.jackdawsaddle.internal.dispatch;

import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.TaskKey;

/**
 * A task that a sidecar was asked to start and that has not ended.
 *
 * @param key the task
 * @param job the job that it belongs to
 * @param expectedMillis the declared run time at speed 1
 * @param demand what it holds
 */
record RunningTask(TaskKey key, Job job, long expectedMillis, Demand demand) {}
