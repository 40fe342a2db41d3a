package org.jackdawsaddle.internal.pool;

import java.util.Locale;

/** The counters of a pool sidecar. */
public enum PoolSidecarCounter {
    STARTS_ORDERED,
    STARTS_REFUSED,
    STARTS_UNANSWERED,
    STOPS_ORDERED,
    RUNS_DONE,
    RUNS_FAILED,
    RUNS_CUT_OFF,
    RUNS_LOST,
    RUNS_ORPHANED,
    RUNS_OF_OTHERS,
    POLLS_UNANSWERED,
    TARGET_LIVES;

    /** Returns the name of the metric, without the prefix. */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
