package org.jackdawsaddle.internal.sidecar;

import java.util.Locale;

/** What a sidecar counts of its decisions. */
public enum SidecarCounter {
    /** Tasks given to the target. */
    TASKS_STARTED,
    /** Tasks that the target ended well. */
    TASKS_COMPLETED,
    /** Tasks that the target ended badly. */
    TASKS_FAILED,
    /** Starts refused because another owner has sealed the partition. */
    REFUSED_SEALED,
    /** Starts refused for want of a slot. */
    REFUSED_NO_SLOT,
    /** Starts refused for want of cores, memory or accelerators. */
    REFUSED_NO_ROOM,
    /** Starts refused because the target is leaving or drained. */
    REFUSED_LEAVING,
    /** Starts refused for their age. */
    REFUSED_EXPIRED,
    /** Starts refused because the task was cancelled. */
    REFUSED_STOPPED,
    /** Starts of a task that was known already. */
    DUPLICATE_STARTS,
    /** Partitions sealed for a new owner. */
    SEALS,
    /** Revisions put in force. */
    REVISIONS_APPLIED;

    /** Returns the name of the metric, without its prefix. */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
