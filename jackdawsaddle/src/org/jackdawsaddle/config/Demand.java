package org.jackdawsaddle.config;

/**
 * An amount of a machine's resources: what a task needs, or what a target has.
 *
 * @param cores processor cores
 * @param memoryMegabytes memory in megabytes
 * @param accelerators whole accelerators
 */
public record Demand(double cores, long memoryMegabytes, int accelerators) {
    /** No resources at all. */
    public static final Demand NONE = new Demand(0, 0, 0);

    /** Returns the sum of both amounts. */
    public Demand plus(Demand other) {
        return new Demand(
                cores + other.cores,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /** Returns this amount less the other one. */
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

    /** Returns whether this amount can be taken out of the given capacity. */
    public boolean fitsIn(Demand capacity) {
        return cores <= capacity.cores
                && memoryMegabytes <= capacity.memoryMegabytes
                && accelerators <= capacity.accelerators;
    }
}
