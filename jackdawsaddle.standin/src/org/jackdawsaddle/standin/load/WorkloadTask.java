package org.jackdawsaddle.standin.load;

/**
 * A task of a workload.
 *
 * @param workMillis its run time at speed 1, in milliseconds
 * @param declaredMillis the run time that its caller declares, in milliseconds; may be far off
 */
public record WorkloadTask(double workMillis, long declaredMillis) {}
