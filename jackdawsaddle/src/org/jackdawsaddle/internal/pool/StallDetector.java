package org.jackdawsaddle.internal.pool;

import java.util.List;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;

/**
 * Detects runs that take far longer than expected, and has them stopped so that their tasks are
 * retried elsewhere.
 */
final class StallDetector {
    /** A target that has completed no run successfully for this long may have stalled. */
    private static final long STALL_MILLIS = 500;

    /**
     * On a target that may have stalled, a run is overdue after this multiple of its expected time
     * plus {@link #STALLED_SLACK_MILLIS}.
     */
    private static final double STALLED_MULTIPLE = 2;

    private static final long STALLED_SLACK_MILLIS = 150;

    /**
     * The same for a target that completes other runs. Higher, as the declared time is more likely
     * to be wrong there.
     */
    private static final double BUSY_MULTIPLE = 6;

    private static final long BUSY_SLACK_MILLIS = 400;

    /**
     * A run with this number or a higher one is not stopped, as the task may be slow on every
     * target. Numbers that were skipped count too.
     */
    private static final int FIRST_UNSTOPPED_RUN_NUMBER = 3;

    private final PoolEntryState mState;

    StallDetector(PoolEntryState state) {
        mState = state;
    }

    /**
     * Requests the stop of each overdue run on a sidecar; records it as a failure of the target if
     * that may have stalled.
     */
    void check(SidecarView sidecar) {
        List<PlacedRun> overdue =
                sidecar.mPlacedRuns.values().stream().filter(run -> overdue(sidecar, run)).toList();
        for (PlacedRun run : overdue) {
            mState.count(PoolEntryCounter.RUNS_OVERDUE);
            EventLog.line(Event.RUN_OVERDUE)
                    .with("job", run.mTask.mJob.mJob.id())
                    .with("task", run.mRun.task())
                    .with("run", run.mRun.run())
                    .with("target", sidecar.mHello.target())
                    .with("ms", mState.mNow - run.mPlacedAt)
                    .with("expected_ms", Math.round(run.mExpectedMillis))
                    .with("target_quiet_ms", mState.mNow - sidecar.mLastDoneAt)
                    .write();
            mState.requestStop(sidecar, run);
            if (stalled(sidecar, run)
                    && sidecar.mHealth.recordFailure(run.mTask.mJob.mJob.id(), true, mState.mNow)) {
                mState.count(PoolEntryCounter.PROBATIONS);
            }
        }
    }

    private boolean overdue(SidecarView sidecar, PlacedRun run) {
        if (run.mStopRequested || run.mTask.mLastRunNumber >= FIRST_UNSTOPPED_RUN_NUMBER) {
            return false;
        }
        double limit =
                stalled(sidecar, run)
                        ? STALLED_MULTIPLE * run.mExpectedMillis + STALLED_SLACK_MILLIS
                        : BUSY_MULTIPLE * run.mExpectedMillis + BUSY_SLACK_MILLIS;
        return mState.mNow - run.mPlacedAt > limit;
    }

    /**
     * Returns whether the target may have stalled: it has completed no run for a while, or none
     * since this run was placed.
     */
    private boolean stalled(SidecarView sidecar, PlacedRun run) {
        long since = Math.max(run.mPlacedAt, mState.mNow - STALL_MILLIS);
        return sidecar.mLastDoneAt < since;
    }
}
