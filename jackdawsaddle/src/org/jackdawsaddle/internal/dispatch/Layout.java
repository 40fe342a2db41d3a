package org.jackdawsaddle.internal.dispatch;

/**
 * The partitioning of all work; it is written to the store once and never changed.
 *
 * @param partitions the number of partitions
 */
public record Layout(int partitions) {}
