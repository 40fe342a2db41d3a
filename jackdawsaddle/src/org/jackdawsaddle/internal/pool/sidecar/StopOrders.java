package org.jackdawsaddle.internal.pool.sidecar;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.pool.PoolTiming;
import org.jackdawsaddle.pool.TargetIncarnation;

/** Orders a target to stop runs, again and again until it confirms that. */
final class StopOrders {
    /** The least time between two orders to stop the same run. */
    private static final long RETRY_MILLIS = 100;

    private final HeldRuns mHeldRuns;
    private final List<PoolSidecarAction> mActions;
    private final Consumer<PoolSidecarCounter> mCounter;
    private final FencingToken mFencingToken;
    private final Supplier<TargetIncarnation> mTarget;
    private long mNow;

    /**
     * Creates the orders to one target.
     *
     * @param target returns its latest incarnation, which must be known when runs are stopped
     */
    StopOrders(
            HeldRuns heldRuns,
            List<PoolSidecarAction> actions,
            Consumer<PoolSidecarCounter> counter,
            FencingToken fencingToken,
            Supplier<TargetIncarnation> target) {
        mHeldRuns = heldRuns;
        mActions = actions;
        mCounter = counter;
        mFencingToken = fencingToken;
        mTarget = target;
    }

    void advanceTo(long now) {
        mNow = now;
    }

    /** Stops a run at the request of its entry; no effect if the entry does not own it. */
    void stop(NodeId owner, Run run) {
        HeldRun held = mHeldRuns.get(run);
        if (held != null && held.mOwner.equals(owner)) {
            stop(held);
        }
    }

    /**
     * Stops the runs of lost entries. The lease is not renewed until they have ended, so that they
     * end even if the target does not carry out the stops.
     */
    void stopRunsOf(Predicate<NodeId> owners) {
        for (HeldRun held : mHeldRuns.values()) {
            held.mOrphaned = held.mOrphaned || owners.test(held.mOwner);
            if (held.mOrphaned && held.mState != HeldRun.State.STOPPING) {
                mCounter.accept(PoolSidecarCounter.RUNS_ORPHANED);
                RunLog.stopped(held.mStartTask.run(), "entry lost: " + held.mOwner);
                stop(held);
            }
        }
    }

    /** Stops the runs of an entry that it does not know of any more: it counts them as ended. */
    void stopRunsOfExcept(NodeId owner, List<Run> known) {
        for (HeldRun held : mHeldRuns.values()) {
            Run run = held.mStartTask.run();
            if (held.mOwner.equals(owner) && !known.contains(run)) {
                RunLog.stopped(run, "unknown to its entry: " + owner);
                stop(held);
            }
        }
    }

    /** Stops a run; no effect if that was requested before. */
    void stop(HeldRun held) {
        if (held.mState != HeldRun.State.STOPPING) {
            held.mState = HeldRun.State.STOPPING;
            held.mStopExpiresAt = mNow + PoolTiming.STOP_TIMEOUT_MILLIS;
            held.mConclusivePoll = Long.MAX_VALUE;
            send(held);
        }
    }

    /** Stops a run of an earlier sidecar process, or one that started after it counted as ended. */
    void stopUnknown(Run run) {
        mCounter.accept(PoolSidecarCounter.RUNS_OF_OTHERS);
        RunLog.stopped(run, "not ordered here");
        mActions.add(new PoolSidecarAction.StopRun(mTarget.get(), run, mFencingToken.value()));
    }

    /** Repeats the orders that have not been confirmed in time. */
    void repeatDue() {
        for (HeldRun held : mHeldRuns.values()) {
            if (mNow >= held.stopDueAt()) {
                send(held);
            }
        }
    }

    private void send(HeldRun held) {
        held.mStopInFlight = true;
        held.mStopDueAt = mNow + RETRY_MILLIS;
        mCounter.accept(PoolSidecarCounter.STOPS_ORDERED);
        mActions.add(
                new PoolSidecarAction.StopRun(
                        mTarget.get(), held.mStartTask.run(), mFencingToken.value()));
    }
}
