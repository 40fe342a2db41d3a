package org.jackdawsaddle.internal.pool;

import org.jackdawsaddle.internal.message.PoolMessage.Run;

/** A run that an entry has placed on a sidecar and that is not known to have ended. */
final class PlacedRun {
    final TaskState mTask;
    final Run mRun;

    /** When the run was placed, in milliseconds since the epoch. */
    final long mPlacedAt;

    /** The expected run time on this target, in milliseconds. */
    final double mExpectedMillis;

    /** Whether a stop was requested; the duration of the run is then not used to learn speeds. */
    boolean mStopRequested;

    /** When the stop was first requested, in milliseconds since the epoch. */
    long mStopRequestedAt;

    /**
     * The number of the request to start the run, on the current connection to the sidecar; 0 if it
     * was made on an earlier one.
     */
    long mStartNumber;

    /** Whether the sidecar has told on an earlier connection that the run cannot start later. */
    boolean mStartSettled;

    PlacedRun(TaskState task, Run run, long placedAt, double expectedMillis) {
        mTask = task;
        mRun = run;
        mPlacedAt = placedAt;
        mExpectedMillis = expectedMillis;
    }
}
