package org.jackdawsaddle.config;

/**
 * An amount of a machine's resources: the demand of a task or the capacity of a target.
 *
 * @param cores the number of processor cores
 * @param memoryMegabytes memory in megabytes
 * @param accelerators the number of accelerators
 */
public record Demand(double cores, long memoryMegabytes, int accelerators) {
    /** No resources. */
    public static final Demand NONE = new Demand(0, 0, 0);

    /** Returns the sum of both amounts. */
    public Demand plus(Demand other) {
        return new Demand(
                cores + other.cores,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /** Returns this amount minus the other one. */
    public Demand minus(Demand other) {
        return new Demand(
                cores - other.cores,
                memoryMegabytes - other.memoryMegabytes,
                accelerators - other.accelerators);
    }

    /** Returns, for each resource, the larger of both amounts. */
    public Demand max(Demand other) {
        return new Demand(
                Math.max(cores, other.cores),
                Math.max(memoryMegabytes, other.memoryMegabytes),
                Math.max(accelerators, other.accelerators));
    }

    /** Returns, for each resource, the smaller of both amounts. */
    public Demand min(Demand other) {
        return new Demand(
                Math.min(cores, other.cores),
                Math.min(memoryMegabytes, other.memoryMegabytes),
                Math.min(accelerators, other.accelerators));
    }

    /** Returns whether the capacity covers this amount of each resource. */
    public boolean fitsIn(Demand capacity) {
        return cores <= capacity.cores
                && memoryMegabytes <= capacity.memoryMegabytes
                && accelerators <= capacity.accelerators;
    }
}
