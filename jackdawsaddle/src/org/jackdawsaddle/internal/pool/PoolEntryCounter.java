package org.jackdawsaddle.internal.pool;

import java.util.Locale;

/** The counters of a pool entry. */
public enum PoolEntryCounter {
    JOBS_SUBMITTED,
    JOBS_SUCCEEDED,
    JOBS_FAILED,
    JOBS_REFUSED,
    JOBS_ABANDONED,
    JOBS_CANCELLED,
    JOBS_JOINED,
    TASKS_PLACED,
    TASKS_DONE,
    TASKS_FAILED,
    TASKS_CUT_OFF,
    TASKS_NOT_STARTED,
    RUNS_OVERDUE,
    PROBATIONS,
    SIDECARS_LOST,
    CONFIGURATIONS_APPLIED;

    /** Returns the name of the metric, without the prefix. */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
