package org.jackdawsaddle.internal.pool;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage.StartTask;

/** A run that a sidecar has ordered and whose end it does not know. */
final class HeldRun {
    /** Where the run stands. */
    enum State {
        /** The order to start is out. */
        STARTING,
        /** The target has it. */
        RUNNING,
        /** It is to end; its room stays taken until the target says so. */
        STOPPING
    }

    final NodeId mOwner;
    final StartTask mTask;
    State mState = State.STARTING;

    /** Lists that were asked for from this number on prove by their silence that it is gone. */
    long mConclusivePoll = Long.MAX_VALUE;

    /** Whether the target has listed it as running. */
    boolean mListed;

    boolean mStopInFlight;
    long mStopDueAt;

    HeldRun(NodeId owner, StartTask task) {
        mOwner = owner;
        mTask = task;
    }

    void markListed() {
        mListed = true;
    }

    String job() {
        return TaskNames.jobOf(mTask.run().task());
    }
}
