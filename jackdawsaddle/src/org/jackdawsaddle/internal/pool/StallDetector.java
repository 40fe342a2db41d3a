package org.jackdawsaddle.internal.pool;

import java.util.List;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;

/**
 * Finds runs that a target holds far longer than expected, and has them stopped so that their tasks
 * can run elsewhere.
 */
final class StallDetector {
    /** A target that ended nothing for this long may stand still. */
    private static final long QUIET_MILLIS = 500;

    /** On a target that may stand still, a run is overdue after this multiple of its time. */
    private static final double QUIET_MULTIPLE = 2;

    private static final long QUIET_SLACK_MILLIS = 150;

    /** On a target that ends others, the declared time is more likely to be at fault. */
    private static final double BUSY_MULTIPLE = 6;

    private static final long BUSY_SLACK_MILLIS = 400;

    /** A task that is slow wherever it runs is left alone after this many runs. */
    private static final int MAX_RUNS = 3;

    private final PoolBoard mBoard;

    StallDetector(PoolBoard board) {
        mBoard = board;
    }

    void check(SidecarSeat seat) {
        List<PlacedRun> overdue =
                seat.mPlaced.values().stream().filter(run -> overdue(seat, run)).toList();
        for (PlacedRun run : overdue) {
            mBoard.count(PoolEntryCounter.RUNS_OVERDUE);
            EventLog.line(Event.RUN_OVERDUE)
                    .with("job", run.mTask.mJob.mJob.id())
                    .with("task", run.mRun.task())
                    .with("run", run.mRun.run())
                    .with("target", seat.mHello.target())
                    .with("ms", mBoard.mNow - run.mPlacedAt)
                    .with("expected_ms", Math.round(run.mExpectedMillis))
                    .with("target_quiet_ms", mBoard.mNow - seat.mLastDoneAt)
                    .write();
            mBoard.stop(seat, run);
            if (quiet(seat, run)
                    && seat.mHealth.recordFailure(run.mTask.mJob.mJob.id(), true, mBoard.mNow)) {
                mBoard.count(PoolEntryCounter.PROBATIONS);
            }
        }
    }

    private boolean overdue(SidecarSeat seat, PlacedRun run) {
        if (run.mStopped || run.mTask.mRuns >= MAX_RUNS) {
            return false;
        }
        double limit =
                quiet(seat, run)
                        ? QUIET_MULTIPLE * run.mExpectedMillis + QUIET_SLACK_MILLIS
                        : BUSY_MULTIPLE * run.mExpectedMillis + BUSY_SLACK_MILLIS;
        return mBoard.mNow - run.mPlacedAt > limit;
    }

    /** Returns whether the target has ended nothing since the run was placed, or for a while. */
    private boolean quiet(SidecarSeat seat, PlacedRun run) {
        long since = Math.max(run.mPlacedAt, mBoard.mNow - QUIET_MILLIS);
        return seat.mLastDoneAt < since;
    }
}
