package org.jackdawsaddle.internal.pool.sidecar;

import java.util.Locale;

/** The counters of a pool sidecar. */
public enum PoolSidecarCounter {
    /** Start orders to the target. */
    STARTS_ORDERED,
    /** Starts that this sidecar or the target has refused. */
    STARTS_REFUSED,
    /** Start orders without a usable answer. */
    STARTS_UNANSWERED,
    /** Stop orders for runs that this process has ordered, repetitions included. */
    STOPS_ORDERED,
    /** Runs that the target has reported as succeeded. */
    RUNS_DONE,
    /** Runs that the target has reported as failed. */
    RUNS_FAILED,
    /** Runs that the target has reported as ended by a stop, lease expiry or another cause. */
    RUNS_CUT_OFF,
    /** Runs without a reported end: a snapshot omits them, or the lease has expired. */
    RUNS_LOST,
    /** Runs that were stopped because the entry that placed them is lost. */
    RUNS_ORPHANED,
    /** Runs in a snapshot that this process does not hold; counted again in each snapshot. */
    RUNS_OF_OTHERS,
    /** Polls without a usable answer. */
    POLLS_UNANSWERED,
    /** Incarnations of the target that were announced or loaded from the store. */
    TARGET_LIVES;

    /** Returns the name of the metric, without the prefix {@code jackdawsaddle_sidecar_}. */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
