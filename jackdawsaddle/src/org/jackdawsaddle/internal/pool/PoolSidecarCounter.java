package org.jackdawsaddle.internal.pool;

import java.util.Locale;

/** What a sidecar of a pool counts. */
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

    /** Returns the name of the metric without prefix. */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
