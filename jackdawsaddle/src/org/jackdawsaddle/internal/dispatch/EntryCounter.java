package org.jackdawsaddle.internal.dispatch;

import java.util.Locale;

/** What an entry counts of its decisions. */
public enum EntryCounter {
    /** Jobs that callers submitted to this entry. */
    JOBS_SUBMITTED,
    /** Jobs that this entry passed on to their owner. */
    JOBS_FORWARDED,
    /** Jobs that this entry admitted as owner. */
    JOBS_ADMITTED,
    /** Jobs that ended with a whole answer. */
    JOBS_COMPLETED,
    /** Jobs that were refused and did not run. */
    JOBS_NOT_RUN,
    /** Jobs that failed and may have run. */
    JOBS_FAILED,
    /** Submissions of an id that was known already. */
    RESUBMISSIONS,
    /** Submissions that were checked with the sidecars after a takeover. */
    SUBMISSIONS_IN_DOUBT,
    /** Tasks that sidecars were asked to start. */
    TASKS_STARTED,
    /** Tasks that sidecars refused to start. */
    TASKS_REFUSED,
    /** Tasks that ended well. */
    TASKS_COMPLETED,
    /** Tasks that ended badly. */
    TASKS_FAILED,
    /** Idempotent requests that were tried once more. */
    REQUESTS_RETRIED,
    /** Retries that the budget did not allow. */
    RETRIES_SUPPRESSED,
    /** Targets that were put on probation. */
    PROBATIONS,
    /** Partitions that this entry took over. */
    PARTITIONS_CLAIMED,
    /** Partitions that this entry lost or let go. */
    PARTITIONS_LOST,
    /** Refusals that waited for the lease to be confirmed. */
    REFUSALS_CONFIRMED,
    /** Revisions that this entry put in force. */
    REVISIONS_APPLIED,
    /** Store calls without an answer. */
    STORE_FAILURES;

    /** Returns the name of the metric, without its prefix. */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
