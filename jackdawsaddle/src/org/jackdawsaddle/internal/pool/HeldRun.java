package org.jackdawsaddle.internal.pool;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage.StartTask;

/** A run that a sidecar has ordered and that has not ended as far as the sidecar knows. */
final class HeldRun {
    /** The state of the run. */
    enum State {
        /** The start order is in flight. */
        STARTING,
        /** The target has confirmed the start. */
        RUNNING,
        /** The run must end; it keeps its capacity until the target confirms that it has. */
        STOPPING
    }

    final NodeId mOwner;
    final StartTask mStartTask;
    State mState = State.STARTING;

    /** The first poll whose snapshot proves that the run has ended if it does not list the run. */
    long mConclusivePoll = Long.MAX_VALUE;

    /** Whether a snapshot has listed the run as running. */
    boolean mListed;

    boolean mStopInFlight;
    long mStopDueAt;

    HeldRun(NodeId owner, StartTask task) {
        mOwner = owner;
        mStartTask = task;
    }

    void markListed() {
        mListed = true;
    }

    String job() {
        return TaskNames.jobOf(mStartTask.run().task());
    }
}
