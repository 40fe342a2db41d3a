package org.jackdawsaddle.config;

/**
 * A service: a group of targets that run the same job kinds.
 *
 * @param name the unique name among services
 * @param partitions the number of partitions that its jobs are spread over, at most all of the
 *     layout; cannot be changed after publication
 * @param queueTasks the maximum number of queued tasks per partition
 */
public record ServiceObject(String name, int partitions, int queueTasks) implements NamedObject {}
