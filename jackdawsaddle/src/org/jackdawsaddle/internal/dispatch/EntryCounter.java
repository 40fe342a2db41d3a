package org.jackdawsaddle.internal.dispatch;

import java.util.Locale;

/** The counters of an entry. */
public enum EntryCounter {
    /** Submissions of jobs by callers to this entry, including invalid and repeated ones. */
    JOBS_SUBMITTED,
    /** How often this entry forwarded a job to its owner; a job may be forwarded repeatedly. */
    JOBS_FORWARDED,
    /** Jobs that this entry admitted as owner. */
    JOBS_ADMITTED,
    /** Jobs that ended with the answers of all their tasks. */
    JOBS_COMPLETED,
    /**
     * Jobs that were refused, expired or cancelled before any of their tasks was started; invalid
     * requests are not counted.
     */
    JOBS_NOT_RUN,
    /** Jobs that failed and may have run. */
    JOBS_FAILED,
    /** Submissions of an id that was already known. */
    RESUBMISSIONS,
    /** Submissions that a previous owner may have started, about which sidecars were asked. */
    SUBMISSIONS_IN_DOUBT,
    /** Starts of tasks that sidecars were asked for, including repeated ones. */
    TASKS_STARTED,
    /** Starts of tasks that sidecars refused or never received. */
    TASKS_REFUSED,
    /** Tasks that completed successfully. */
    TASKS_COMPLETED,
    /** Tasks whose failure a sidecar reported. */
    TASKS_FAILED,
    /** Retries of idempotent requests. */
    REQUESTS_RETRIED,
    /** Retries that the budget did not allow. */
    RETRIES_SUPPRESSED,
    /** How often a target was put on probation, or its probation prolonged. */
    PROBATIONS,
    /** Partitions that this entry took over. */
    PARTITIONS_CLAIMED,
    /** Partitions that this entry lost or released. */
    PARTITIONS_LOST,
    /** Refusals that were deferred because the lease had to be confirmed first. */
    REFUSALS_CONFIRMED,
    /** Configuration revisions that this entry put in force. */
    REVISIONS_APPLIED,
    /** Store calls without an answer. */
    STORE_FAILURES;

    /** Returns the name of the metric without its prefix. */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
