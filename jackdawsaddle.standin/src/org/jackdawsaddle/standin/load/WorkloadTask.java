package org.jackdawsaddle.standin.load;

/**
 * A task of a workload.
 *
 * @param workMillis its run time at speed 1
 * @param declaredMillis the run time that its caller declares, which may be far off
 */
public record WorkloadTask(double workMillis, long declaredMillis) {}
