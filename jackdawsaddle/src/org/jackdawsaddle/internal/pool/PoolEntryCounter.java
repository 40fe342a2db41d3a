package org.jackdawsaddle.internal.pool;

import java.util.Locale;

/** The counters of a pool entry. */
public enum PoolEntryCounter {
    /** Requests to serve a job here, joined and taken-over ones included. */
    JOBS_SUBMITTED,
    /** Jobs that succeeded. */
    JOBS_SUCCEEDED,
    /** Jobs that failed, those without tasks included. */
    JOBS_FAILED,
    /** Jobs refused on arrival, or later before any task was placed. */
    JOBS_REFUSED,
    /** Jobs that ended without result, cancelled ones included. */
    JOBS_ABANDONED,
    /** Jobs cancelled by their caller. */
    JOBS_CANCELLED,
    /** Calls whose caller left while their job was active. */
    CALLERS_LOST,
    /** Requests for a job that is active or has a retained answer. */
    JOBS_JOINED,
    /** Jobs that have waited for the end of runs of an earlier request. */
    JOBS_HELD_BACK,
    /** Runs placed on a sidecar. */
    TASKS_PLACED,
    /** Runs that succeeded. */
    TASKS_DONE,
    /** Runs that failed. */
    TASKS_FAILED,
    /** Runs that a sidecar reported as ended without result. */
    TASKS_CUT_OFF,
    /** Runs that were lost with their target. */
    TASKS_CRASHED,
    /** Runs that count as ended because their sidecar was silent for too long. */
    RUNS_SIDECAR_SILENT,
    /** Runs that count as ended because a new process of their sidecar serves. */
    RUNS_SIDECAR_REPLACED,
    /** Runs that were not started, except those with an outdated number. */
    TASKS_NOT_STARTED,
    /** Runs that were stopped because they took too long. */
    RUNS_OVERDUE,
    /** Times that a target was put on probation, or blocked again while on probation. */
    PROBATIONS,
    /** Connections to sidecars that were lost or timed out. */
    SIDECARS_LOST,
    /** Configurations put in force. */
    CONFIGURATIONS_APPLIED,
    /** Jobs that another entry was asked to answer. */
    JOBS_HANDED_OVER,
    /** Jobs that this entry was asked to answer for another one, and did not decline. */
    JOBS_TAKEN_OVER,
    /** Jobs that the other entry has declined, so that they were served here. */
    HAND_OVERS_DECLINED,
    /** Jobs that were abandoned as the entry that had taken them over was lost. */
    HAND_OVERS_LOST,
    /** Changes of the evacuated data centres put in force. */
    EVACUATIONS_APPLIED;

    /** Returns the name of the metric, without the prefix {@code jackdawsaddle_entry_}. */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
