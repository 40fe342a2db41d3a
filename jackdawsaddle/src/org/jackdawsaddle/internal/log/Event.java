package org.jackdawsaddle.internal.log;

import java.util.Locale;

/** Every kind of line in the logs of a pool; docs/OPERATIONS.md tells what each says. */
public enum Event {
    /** A role is up. */
    STARTED(10),
    /** A role has ended. */
    STOPPED(10),
    /** A role has been asked to end. */
    LEAVING(10),
    /** The settings file was read again. */
    SETTINGS_READ(10),
    /** Callers can connect from now on. */
    OPENED(10),
    /** A job was turned away without running. */
    JOB_REFUSED(30),
    /** A job got its final answer. */
    JOB_ENDED(60),
    /** A task will be tried again after a run that failed or was cut off. */
    TASK_RETRIED(30),
    /** A sidecar did not take a run. */
    RUN_NOT_STARTED(20),
    /** A target does not answer an order; it is made sure that the run does not start. */
    RUN_UNANSWERED(20),
    /** A target refused an order. */
    RUN_REFUSED(20),
    /** A run is stopped as its entry is lost, or as it was not ordered here. */
    RUN_STOPPED(20),
    /** Runs are taken as ended, since their target said nothing for longer than their lease. */
    RUNS_LOST(10),
    /** A run takes far longer than expected; it is stopped, and the task placed elsewhere. */
    RUN_OVERDUE(20),
    /** A target takes no work for a while, as jobs fail there. */
    TARGET_BARRED(10),
    /** A target has started a new life. */
    TARGET_FOUND(10),
    /** A target does not answer its sidecar and gets no new work. */
    TARGET_SILENT(10),
    /** A sidecar can be given work. */
    SIDECAR_CONNECTED(30),
    /** A sidecar cannot be reached. */
    SIDECAR_LOST(30),
    /** Nothing runs any more at a sidecar that was lost. */
    SIDECAR_GONE(30),
    /** Another entry may live at an address. */
    ENTRY_FOUND(20),
    /** A configuration is in force. */
    CONFIGURATION_APPLIED(10),
    /** An input from outside could not be read and was passed over. */
    INPUT_UNREADABLE(10),
    /** The store cannot be reached. */
    STORE_LOST(10),
    /** The store can be reached again. */
    STORE_FOUND(10),
    /** The store no longer has the changes that were asked for. */
    STORE_FORGOT(10);

    private final int mMaxLinesPerSecond;

    Event(int maxLinesPerSecond) {
        mMaxLinesPerSecond = maxLinesPerSecond;
    }

    int maxLinesPerSecond() {
        return mMaxLinesPerSecond;
    }

    /** Returns the name as it stands in the logs. */
    public String logName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
