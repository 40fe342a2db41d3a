package org.jackdawsaddle.internal.sidecar;

import java.util.Locale;

/** The counters of a sidecar, exported as metrics. */
public enum SidecarCounter {
    /** Tasks started on the target. */
    TASKS_STARTED,
    /** Tasks that the target completed. */
    TASKS_COMPLETED,
    /** Tasks that failed, or whose outcome is unknown. */
    TASKS_FAILED,
    /** Starts refused because the sender is not the current owner of the partition. */
    REFUSED_SEALED,
    /** Starts refused because every slot was in use. */
    REFUSED_NO_SLOT,
    /** Starts refused because free cores, memory or accelerators were insufficient. */
    REFUSED_NO_ROOM,
    /** Starts refused because the target is leaving, drained or unconfigured. */
    REFUSED_LEAVING,
    /** Starts refused because the deadline or the lifetime of the id had passed. */
    REFUSED_EXPIRED,
    /** Starts refused because the task had been cancelled. */
    REFUSED_STOPPED,
    /** Starts of a task that was already on record. */
    DUPLICATE_STARTS,
    /** Seals accepted from the owners of partitions. */
    SEALS,
    /** Configuration revisions applied. */
    REVISIONS_APPLIED;

    /** Returns the metric name without its prefix. */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
