package org.jackdawsaddle.internal.pool;

import org.jackdawsaddle.internal.message.PoolMessage.Run;

/** A run that an entry has placed on a sidecar and that has not ended as far as the entry knows. */
final class PlacedRun {
    final TaskState mTask;
    final Run mRun;
    final long mPlacedAt;

    /** The expected run time on this target, in milliseconds. */
    final double mExpectedMillis;

    /** Whether a stop was requested, so that the end of the run says nothing about the target. */
    boolean mStopRequested;

    PlacedRun(TaskState task, Run run, long placedAt, double expectedMillis) {
        mTask = task;
        mRun = run;
        mPlacedAt = placedAt;
        mExpectedMillis = expectedMillis;
    }
}
