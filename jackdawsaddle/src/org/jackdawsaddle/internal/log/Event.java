package org.jackdawsaddle.internal.log;

import java.util.Locale;

/**
 * The events in the structured log of a pool, each with its maximum number of lines per second.
 * docs/OPERATIONS.md describes their fields.
 */
public enum Event {
    /** A process has started. */
    STARTED(10),
    /** A process has stopped. */
    STOPPED(10),
    /** A process has been asked to stop and is draining. */
    LEAVING(10),
    /** A server has closed connections with requests in progress, which get no answer. */
    REQUESTS_CUT(10),
    /** The settings file has been reloaded. */
    SETTINGS_READ(10),
    /** The listening address for callers or targets is open. */
    OPENED(10),
    /** A job was refused; none of its tasks has run. */
    JOB_REFUSED(30),
    /** Another entry is to answer a job. */
    JOB_HANDED_OVER(20),
    /** A job has received its final answer. */
    JOB_ENDED(60),
    /**
     * A run has failed or ended without a result. Its task is retried, unless all attempts have
     * failed or the job has ended.
     */
    TASK_RETRIED(30),
    /** A target has crashed under a task, which may have caused it. */
    TASK_SUSPECTED(30),
    /** A sidecar has not started a run, for another reason than an outdated run number. */
    RUN_NOT_STARTED(20),
    /**
     * A target has not answered a start request; the sidecar stops the run so that it cannot start.
     */
    RUN_UNANSWERED(20),
    /**
     * A target has refused a start request or could not be reached; not logged if it had no room or
     * had seen a higher run.
     */
    RUN_REFUSED(20),
    /**
     * A run is stopped, because its entry is lost or because the target lists it but the sidecar
     * does not hold it.
     */
    RUN_STOPPED(20),
    /**
     * Runs are considered ended, because their target was unresponsive for longer than their lease.
     */
    RUNS_LOST(10),
    /** A run counts as ended although its target has not reported its end. */
    RUN_LOST(30),
    /**
     * A run is kept although its lease has expired: its target has neither answered the start
     * request nor confirmed the stop, and may still start it.
     */
    RUN_KEPT(20),
    /** A run exceeds its expected time by far; it is stopped, and its task placed elsewhere. */
    RUN_OVERDUE(20),
    /** A job waits for the end of runs of an earlier request, here or at another entry. */
    JOB_HELD_BACK(30),
    /** The last run of a job has ended after the job had. */
    JOB_STOPPED(30),
    /** A process has handled no events for longer than heartbeats allow for. */
    PROCESS_LATE(10),
    /** A target is put on probation, because jobs fail there; not logged for overdue runs. */
    TARGET_BARRED(10),
    /** A new incarnation of a target has been found. */
    TARGET_FOUND(10),
    /** A target has refused the fencing token of its sidecar, which uses a higher one from now. */
    TOKEN_RAISED(10),
    /** A target has announced another capacity while it runs. */
    TARGET_RESIZED(10),
    /** A target is unresponsive to its sidecar and gets no new tasks. */
    TARGET_SILENT(10),
    /** A sidecar has connected and can be given tasks. */
    SIDECAR_CONNECTED(30),
    /** The connection to a sidecar is lost. */
    SIDECAR_LOST(30),
    /** A lost sidecar is removed; its runs can be considered ended. */
    SIDECAR_GONE(30),
    /** The address of another entry has been learnt. */
    ENTRY_FOUND(20),
    /** A new configuration is in force. */
    CONFIGURATION_APPLIED(10),
    /** Other data centres are evacuated than before. */
    EVACUATION_APPLIED(10),
    /** A data centre is to be evacuated of which no sidecar is connected. */
    DATA_CENTRE_UNKNOWN(10),
    /** A sidecar accepts no tasks, or accepts them again, for an evacuation of its data centre. */
    SIDECAR_EVACUATED(10),
    /** An external input could not be parsed, or cannot be true, and was ignored. */
    INPUT_UNREADABLE(10),
    /** The store is unreachable. */
    STORE_LOST(10),
    /** The store is reachable again. */
    STORE_FOUND(10),
    /** The store has discarded the changes that a watch asked for; the value is read again. */
    STORE_FORGOT(10);

    private final int mMaxLinesPerSecond;

    Event(int maxLinesPerSecond) {
        mMaxLinesPerSecond = maxLinesPerSecond;
    }

    int maxLinesPerSecond() {
        return mMaxLinesPerSecond;
    }

    /** Returns the name used in the logs: lower case, with hyphens. */
    public String logName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
