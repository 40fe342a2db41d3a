package org.jackdawsaddle.internal.pool.sidecar;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.internal.message.PoolMessage.StartTask;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReport;
import org.jackdawsaddle.internal.pool.TaskNames;
import org.jackdawsaddle.pool.TargetIncarnation;

/** A run that a sidecar has ordered its target to start and that is not known to have ended. */
final class HeldRun {
    /** The state of the run. */
    enum State {
        /** The start order is in flight. */
        STARTING,
        /**
         * The target has confirmed the start; or the start order got no usable answer, but a
         * snapshot has listed the run.
         */
        RUNNING,
        /** The run must end; it keeps its capacity until it is known to have ended. */
        STOPPING
    }

    /** The entry that has placed the run. */
    final NodeId mOwner;

    final StartTask mStartTask;

    /**
     * The number of the entry's request to start the run, on its current connection; 0 if it was
     * made on an earlier one.
     */
    long mStartNumber;

    /** The fencing token in the order to start the run. */
    final long mFencingToken;

    /** The incarnation of the target that was ordered to start the run. */
    final TargetIncarnation mTarget;

    /** Whether that incarnation has announced since that it leaves, or has withdrawn. */
    boolean mTargetLeft;

    /** Whether that incarnation has withdrawn its announcement since, which it does at its end. */
    boolean mTargetWithdrawn;

    State mState = State.STARTING;

    /**
     * The number of the first poll whose snapshot proves that the run has ended if it does not list
     * the run; {@code Long.MAX_VALUE} until the start is answered, and from a stop until the target
     * confirms it.
     */
    long mConclusivePoll = Long.MAX_VALUE;

    /** Whether the target has confirmed the start, or a snapshot has listed the run. */
    private boolean mStarted;

    /** Whether its entry is lost, which counts the run as ended after a while. */
    boolean mOrphaned;

    /** Whether the run was reported as one that may have crashed its target. */
    boolean mSuspected;

    /** Whether the run was kept when the lease expired, as it may still start. */
    boolean mKeptPastLease;

    /** Whether the latest stop order still awaits its answer or timeout. */
    boolean mStopInFlight;

    /** When a stop that was not confirmed is ordered again, in milliseconds since the epoch. */
    long mStopDueAt;

    /**
     * When a run that is being stopped should have ended, in milliseconds since the epoch; {@code
     * Long.MAX_VALUE} before the stop.
     */
    long mStopExpiresAt = Long.MAX_VALUE;

    HeldRun(
            NodeId owner,
            long startNumber,
            long fencingToken,
            StartTask task,
            TargetIncarnation target) {
        mOwner = owner;
        mFencingToken = fencingToken;
        mStartNumber = startNumber;
        mTarget = target;
        mStartTask = task;
    }

    /** Records that the target has started the run. */
    void markStarted() {
        mStarted = true;
    }

    /** Returns whether the run is known to have started, even if it must end by now. */
    boolean started() {
        return mStarted;
    }

    /**
     * Returns whether the target may still start the run: it has neither answered the start order
     * nor confirmed a stop, and has not withdrawn. The end of a lease does not change this, as a
     * target may carry out an order that it left unanswered seconds later.
     */
    boolean mayStartLater() {
        return !mStarted && !mTargetWithdrawn && mConclusivePoll == Long.MAX_VALUE;
    }

    /** Returns whether the run is known to have started, on a target that has not left since. */
    boolean mayHaveCrashedTarget() {
        return !mTargetLeft && mStarted;
    }

    /** Returns the report that the run may have crashed its target. */
    TaskReport suspectedReport() {
        return new TaskReport(mStartTask.run(), ReportKind.SUSPECTED, mStartTask.queue());
    }

    /**
     * Returns when a stop is ordered again, in milliseconds since the epoch; {@code Long.MAX_VALUE}
     * if none is requested, confirmed or still unanswered.
     */
    long stopDueAt() {
        boolean unconfirmed = mConclusivePoll == Long.MAX_VALUE && !mStopInFlight;
        return mState == State.STOPPING && unconfirmed ? mStopDueAt : Long.MAX_VALUE;
    }

    /**
     * Returns whether the lease must not be renewed, so that it ends the run: its entry is lost, or
     * its stop is overdue.
     *
     * @param now in milliseconds since the epoch
     */
    boolean mustLapse(long now) {
        return mOrphaned || mStarted && stopOverdue(now);
    }

    private boolean stopOverdue(long now) {
        return now >= mStopExpiresAt && mConclusivePoll == Long.MAX_VALUE;
    }

    /**
     * Returns when the stop of the run expires, in milliseconds since the epoch; {@code
     * Long.MAX_VALUE} if none is requested or it already has.
     */
    long stopExpiresAfter(long now) {
        return mStopExpiresAt > now ? mStopExpiresAt : Long.MAX_VALUE;
    }

    String job() {
        return TaskNames.jobOf(mStartTask.run().task());
    }
}
