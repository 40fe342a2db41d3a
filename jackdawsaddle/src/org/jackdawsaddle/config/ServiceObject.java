package org.jackdawsaddle.config;

/**
 * A service: a group of targets that run the same job kinds.
 *
 * @param name the unique name among services
 * @param partitions over how many partitions its work is spread; fixed once published
 * @param queueTasks how many tasks may wait in each partition
 */
public record ServiceObject(String name, int partitions, int queueTasks) implements NamedObject {}
