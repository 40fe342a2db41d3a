package review3;

import java.util.List;

/** The rule UNASKED for a cancelled job, from what the runners have seen. */
final class CancelCheck {
    /** Bounds of the site file: cancel_ms and stopTimeoutMs. */
    private static final long CANCEL_MILLIS = 3_000;

    private static final long STOP_TIMEOUT_MILLIS = 50;

    private CancelCheck() {}

    /**
     * Returns whether the rule held: no start of the job later than the bound after its cancelling
     * was acknowledged, and no run that goes on after it.
     */
    static boolean held(Record record, List<RunnerStub.Run> runs, String job, long cancelledAt) {
        boolean held = true;
        for (RunnerStub.Run run : runs) {
            if (!run.mTask.startsWith(job + ".")) {
                continue;
            }
            long endedAt = run.mEndedAt < 0 ? record.now() : run.mEndedAt;
            if (run.mStartedAt > cancelledAt + CANCEL_MILLIS) {
                record.line(
                        "UNASKED: %s run %d starts %d ms after the acknowledged cancelling",
                        run.mTask, run.mRun, run.mStartedAt - cancelledAt);
                held = false;
            } else if (endedAt > cancelledAt + CANCEL_MILLIS + STOP_TIMEOUT_MILLIS) {
                record.line(
                        "UNASKED: %s run %d runs on until %d ms after the acknowledged cancelling",
                        run.mTask, run.mRun, endedAt - cancelledAt);
                held = false;
            }
        }
        return held;
    }
}
