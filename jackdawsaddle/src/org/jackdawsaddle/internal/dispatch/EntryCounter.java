package org.jackdawsaddle.internal.dispatch;

import java.util.Locale;

/** The counters of an entry. */
public enum EntryCounter {
    /** Jobs that callers submitted to this entry. */
    JOBS_SUBMITTED,
    /** Jobs that this entry forwarded to their owner. */
    JOBS_FORWARDED,
    /** Jobs that this entry admitted as owner. */
    JOBS_ADMITTED,
    /** Jobs that ended with the answers of all their tasks. */
    JOBS_COMPLETED,
    /** Jobs that were refused and did not run. */
    JOBS_NOT_RUN,
    /** Jobs that failed and may have run. */
    JOBS_FAILED,
    /** Submissions of an id that was already known. */
    RESUBMISSIONS,
    /** Submissions that a previous owner may have started, about which sidecars were asked. */
    SUBMISSIONS_IN_DOUBT,
    /** Tasks that sidecars were asked to start. */
    TASKS_STARTED,
    /** Tasks that sidecars refused to start. */
    TASKS_REFUSED,
    /** Tasks that completed successfully. */
    TASKS_COMPLETED,
    /** Tasks that failed. */
    TASKS_FAILED,
    /** Retries of idempotent requests. */
    REQUESTS_RETRIED,
    /** Retries that the budget did not allow. */
    RETRIES_SUPPRESSED,
    /** Targets that were put on probation. */
    PROBATIONS,
    /** Partitions that this entry took over. */
    PARTITIONS_CLAIMED,
    /** Partitions that this entry lost or released. */
    PARTITIONS_LOST,
    /** Refusals that were deferred until the lease was confirmed. */
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
