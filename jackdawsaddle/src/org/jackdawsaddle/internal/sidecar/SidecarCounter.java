package org.jackdawsaddle.internal.sidecar;

import java.util.Locale;

/** The counters of a sidecar, exported as metrics. */
public enum SidecarCounter {
    /** Starts sent to the target, including those whose connection could not be opened. */
    TASKS_STARTED,
    /** Tasks that the target completed. */
    TASKS_COMPLETED,
    /** Tasks that failed, or whose outcome is unknown. */
    TASKS_FAILED,
    /** Starts refused because their epoch is not the one in force for the partition. */
    REFUSED_SEALED,
    /** Starts refused because every slot was in use. */
    REFUSED_NO_SLOT,
    /** Starts refused because free cores, memory or accelerators were insufficient. */
    REFUSED_NO_ROOM,
    /**
     * Starts refused because the target is drained, unconfigured or not announced, or because the
     * sidecar is leaving.
     */
    REFUSED_LEAVING,
    /** Starts refused because the deadline or the lifetime of the id had passed. */
    REFUSED_EXPIRED,
    /**
     * Always 0: a start of a task that was stopped before is counted in {@link #DUPLICATE_STARTS}.
     */
    REFUSED_STOPPED,
    /** Starts of a task that was already on record as started, or as stopped before its start. */
    DUPLICATE_STARTS,
    /** Seals accepted, including repeated ones of the same epoch. */
    SEALS,
    /** Configuration revisions applied. */
    REVISIONS_APPLIED;

    /** Returns the metric name without its prefix. */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
