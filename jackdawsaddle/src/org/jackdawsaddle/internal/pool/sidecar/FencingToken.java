package org.jackdawsaddle.internal.pool.sidecar;

import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;

/**
 * The fencing token of a sidecar, raised until its target accepts it. It begins with the time of
 * day, which may have been set back since an earlier process of the sidecar began.
 */
final class FencingToken {
    private static final long FIRST_STEP = 1_000;

    private long mValue;

    /** By how much the token is raised next; doubled each time, as the highest is not known. */
    private long mStep = FIRST_STEP;

    FencingToken(long value) {
        mValue = value;
    }

    long value() {
        return mValue;
    }

    /**
     * Raises the token after the target has refused a value of it as too low; no effect if it was
     * raised since.
     */
    void onRefused(long refused) {
        if (refused < mValue) {
            return;
        }
        mValue += mStep;
        mStep *= 2;
        EventLog.line(Event.TOKEN_RAISED).with("refused", refused).with("token", mValue).write();
    }
}
