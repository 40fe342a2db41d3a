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
    /** Runs without a reported end; the next three counters tell why they count as ended. */
    RUNS_LOST,
    /** Lost runs that a snapshot of their target's incarnation omits. */
    RUNS_LOST_OMITTED,
    /** Lost runs whose target has been replaced by a new incarnation. */
    RUNS_LOST_REPLACED,
    /** Lost runs whose lease has expired. */
    RUNS_LOST_LEASE_EXPIRED,
    /** Runs that were kept when their lease expired, as the target may still start them. */
    RUNS_KEPT_PAST_LEASE,
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
