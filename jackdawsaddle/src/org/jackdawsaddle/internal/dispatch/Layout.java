package org.jackdawsaddle.internal.dispatch;

/**
 * How the work is divided; written once.
 *
 * @param partitions the number of partitions
 */
public record Layout(int partitions) {}
