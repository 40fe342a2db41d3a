package org.jackdawsaddle.internal.pool.sidecar;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.message.PoolMessage.StartTask;
import org.jackdawsaddle.pool.RunSnapshot;
import org.jackdawsaddle.pool.TargetGateway.PollReply;
import org.jackdawsaddle.pool.TargetGateway.StartReply;
import org.jackdawsaddle.pool.TargetIncarnation;

/**
 * The runs that a sidecar has ordered its target to start, reconciled with the target's snapshots.
 * A run keeps its capacity until the target has refused it or reported its end, or a snapshot that
 * was requested after the order was answered omits it. The expiry of the target's lease ends it as
 * well, unless the target may still start it, see {@link HeldRun#mayStartLater}.
 */
final class RunTable {
    private final List<PoolSidecarAction> mActions;
    private final Consumer<PoolSidecarCounter> mCounter;
    private final FencingToken mFencingToken;
    private final TargetLiveness mLiveness;
    private final Predicate<NodeId> mSilentEntries;
    private final HeldRuns mHeldRuns = new HeldRuns();
    private final RunEnds mEnds;
    private final StopOrders mStops;

    private Optional<TargetIncarnation> mTarget = Optional.empty();
    private final PollSchedule mPolls = new PollSchedule();
    private boolean mReconciled;

    /** The fencing token in the latest poll. */
    private long mPolledToken;

    private long mNow;

    /**
     * Creates a table without a target.
     *
     * @param silentEntries tells whether nothing is heard of an entry, so that the lease of its
     *     runs must not be renewed
     */
    RunTable(
            List<PoolSidecarAction> actions,
            RunReporter reporter,
            Consumer<PoolSidecarCounter> counter,
            Predicate<NodeId> silentEntries,
            long fencingToken,
            long leaseMillis) {
        mActions = actions;
        mEnds = new RunEnds(mHeldRuns, reporter, counter);
        mCounter = counter;
        mSilentEntries = silentEntries;
        mFencingToken = new FencingToken(fencingToken);
        mLiveness = new TargetLiveness(leaseMillis);
        mStops =
                new StopOrders(
                        mHeldRuns, actions, counter, mFencingToken, () -> mTarget.orElseThrow());
    }

    void advanceTo(long now) {
        mNow = now;
        mLiveness.advanceTo(now);
        mPolls.advanceTo(now);
        mStops.advanceTo(now);
    }

    /** Returns whether no run is left and a poll that acknowledges all ended runs was sent. */
    boolean idle() {
        return mHeldRuns.isEmpty() && !mPolls.acknowledgementDue();
    }

    /** See {@link TargetLiveness#responsive}. */
    boolean responsive() {
        return mLiveness.responsive();
    }

    /**
     * Returns whether the latest snapshot has shown that the target runs only what is held here; it
     * is unknown how much of its capacity other runs use.
     */
    boolean reconciled() {
        return mReconciled;
    }

    /** Returns the runs that are not known to have ended. */
    HeldRuns held() {
        return mHeldRuns;
    }

    /** Returns what stops the runs. */
    StopOrders stops() {
        return mStops;
    }

    /** Returns the state of a run; {@code NOT_SERVING} if there is no record of it. */
    ReportKind statusOf(Run run) {
        return mHeldRuns.contains(run)
                ? ReportKind.HELD
                : mEnds.find(run).orElse(ReportKind.NOT_SERVING);
    }

    void onTarget(TargetIncarnation target, boolean sameIncarnation) {
        mTarget = Optional.of(target);
        if (target.leaving()) {
            onTargetLeft();
        }
        if (sameIncarnation) {
            mLiveness.recordClock(target.clock());
        } else {
            EventLog.line(Event.TARGET_FOUND)
                    .with("target", target.id())
                    .with("service", target.service())
                    .with("started_at", target.startedAt())
                    .with("runs", mHeldRuns.runs().size())
                    .write();
            mCounter.accept(PoolSidecarCounter.TARGET_LIVES);
            reconcileWithNewIncarnation();
            mReconciled = false;
            mPolls.onNewIncarnation();
            mLiveness.onNewIncarnation(target.clock());
        }
    }

    /** Records that the target leaves: the runs lost with it have not crashed it. */
    private void onTargetLeft() {
        runsOfCurrentTarget().forEach(held -> held.mTargetLeft = true);
    }

    /** Records that the target has withdrawn its announcement, after which its process ends. */
    void onTargetWithdrawn() {
        onTargetLeft();
        runsOfCurrentTarget().forEach(held -> held.mTargetWithdrawn = true);
    }

    private Stream<HeldRun> runsOfCurrentTarget() {
        return mHeldRuns.values().stream().filter(held -> current(held.mTarget));
    }

    /**
     * Lets the first snapshot of a new incarnation show which runs are left: it may have started
     * runs that were ordered from the previous one. Orders in flight still await their answers.
     */
    private void reconcileWithNewIncarnation() {
        mHeldRuns.values().stream()
                .filter(held -> held.mState == HeldRun.State.RUNNING)
                .forEach(held -> held.mConclusivePoll = mPolls.latest() + 2);
    }

    /**
     * Orders the target to start a run.
     *
     * @param startNumber the number of the owner's request
     */
    void start(NodeId owner, long startNumber, StartTask task) {
        TargetIncarnation target = mTarget.orElseThrow();
        mCounter.accept(PoolSidecarCounter.STARTS_ORDERED);
        if (mHeldRuns.isEmpty()) {
            mLiveness.recordHeard();
        }
        mHeldRuns.add(new HeldRun(owner, startNumber, mFencingToken.value(), task, target));
        mActions.add(
                new PoolSidecarAction.StartRun(
                        target,
                        task.run(),
                        task.payload(),
                        mLiveness.requestLeaseByStart(renewable()),
                        mFencingToken.value()));
    }

    void onStartAnswered(Run run, StartReply reply) {
        HeldRun held = mHeldRuns.get(run);
        if (held == null) {
            return;
        }
        switch (reply) {
            case STARTED -> onStarted(held);
            case UNANSWERED -> onUnanswered(held);
            case OUTDATED -> onRefused(held, ReportKind.OUTDATED);
            case NO_ROOM -> onRefused(held, ReportKind.NO_ROOM);
            case FENCED -> {
                mFencingToken.onRefused(held.mFencingToken);
                RunLog.line(Event.RUN_REFUSED, run).with("reason", reply).write();
                onRefused(held, ReportKind.NOT_SERVING);
            }
            case REFUSED, UNREACHABLE -> {
                RunLog.line(Event.RUN_REFUSED, run).with("reason", reply).write();
                onRefused(held, ReportKind.REJECTED);
            }
        }
    }

    private void onStarted(HeldRun held) {
        mLiveness.recordHeard();
        held.markStarted();
        if (held.mState == HeldRun.State.STARTING) {
            held.mState = HeldRun.State.RUNNING;
            held.mConclusivePoll = mPolls.latest() + 1;
        }
    }

    /** Stops a run that no snapshot has listed: the target may still execute the start order. */
    private void onUnanswered(HeldRun held) {
        mCounter.accept(PoolSidecarCounter.STARTS_UNANSWERED);
        if (held.mState != HeldRun.State.STARTING) {
            return;
        }
        if (held.started()) {
            onStarted(held);
        } else {
            RunLog.line(Event.RUN_UNANSWERED, held.mStartTask.run()).write();
            mStops.stop(held);
        }
    }

    private void onRefused(HeldRun held, ReportKind kind) {
        mCounter.accept(PoolSidecarCounter.STARTS_REFUSED);
        mEnds.end(held, kind);
    }

    void onStopAnswered(Run run, boolean confirmed) {
        HeldRun held = mHeldRuns.get(run);
        if (held == null) {
            return;
        }
        held.mStopInFlight = false;
        if (confirmed) {
            mLiveness.recordHeard();
            held.mConclusivePoll = mPolls.latest() + 1;
        }
    }

    void onPollAnswered(TargetIncarnation target, long number, PollReply reply) {
        if (!current(target) || !mPolls.onAnswered(number)) {
            return;
        }
        switch (reply) {
            case PollReply.Answered answered -> onSnapshot(target, number, answered.snapshot());
            case PollReply.Unreachable unreachable -> {
                mLiveness.recordUnreachable(target);
                onPollFailed();
            }
            case PollReply.Fenced fenced -> {
                mFencingToken.onRefused(mPolledToken);
                mLiveness.recordUnanswered(target, mPolls.elapsedMillis());
                onPollFailed();
            }
            case PollReply.Unanswered unanswered -> {
                mLiveness.recordUnanswered(target, mPolls.elapsedMillis());
                onPollFailed();
            }
        }
    }

    private void onPollFailed() {
        mCounter.accept(PoolSidecarCounter.POLLS_UNANSWERED);
        mPolls.retryLater();
        if (mLiveness.seemsGone()) {
            mEnds.reportSuspects();
        }
        endRunsIfLeaseHasExpired();
    }

    private void onSnapshot(TargetIncarnation target, long number, RunSnapshot snapshot) {
        if (!snapshot.isOf(target)) {
            mLiveness.recordUnanswered(target, mPolls.elapsedMillis());
            onPollFailed();
            return;
        }
        mLiveness.recordAnswered(snapshot.clock());
        snapshot.ended().forEach(this::onEnded);
        List<Run> running =
                snapshot.running().stream().map(run -> new Run(run.task(), run.run())).toList();
        running.stream().map(mHeldRuns::get).filter(Objects::nonNull).forEach(HeldRun::markStarted);
        List<Run> unknown = running.stream().filter(run -> !mHeldRuns.contains(run)).toList();
        unknown.forEach(mStops::stopUnknown);
        mReconciled = unknown.isEmpty();
        if (!mReconciled) {
            mPolls.retryLater();
        }
        mHeldRuns.values().stream()
                .filter(held -> held.mConclusivePoll <= number)
                .filter(held -> !running.contains(held.mStartTask.run()))
                .toList()
                .forEach(this::endUnlisted);
    }

    private void endUnlisted(HeldRun held) {
        if (current(held.mTarget)) {
            mEnds.endOmitted(held, mLiveness.silentMillis());
        } else {
            mEnds.endReplaced(held, mLiveness.silentMillis());
        }
    }

    private void onEnded(RunSnapshot.Ended ended) {
        if (!mPolls.acknowledge(ended.number())) {
            return;
        }
        HeldRun held = mHeldRuns.get(new Run(ended.task(), ended.run()));
        if (held != null) {
            mCounter.accept(RunOutcomes.counterOf(ended.outcome()));
            mEnds.end(held, RunOutcomes.kindOf(ended.outcome()));
        }
    }

    void onTick() {
        mStops.repeatDue();
        endRunsIfLeaseHasExpired();
    }

    /** Returns whether anything is left to learn from the target, to acknowledge or to renew. */
    boolean pollNeeded() {
        return mTarget.isPresent()
                && (!mHeldRuns.isEmpty()
                        || !mReconciled
                        || mPolls.acknowledgementDue()
                        || !mLiveness.responsive());
    }

    /**
     * Returns when the next poll or the next attempt to stop a run is due if nothing happens until
     * then, in milliseconds since the epoch; {@code Long.MAX_VALUE} for never. The expiry of a
     * lease is no deadline of its own: it is concluded from unanswered polls, after each of which
     * another one is due.
     */
    long nextDeadline() {
        long pollDueAt = pollNeeded() ? mPolls.dueAt() : Long.MAX_VALUE;
        return mHeldRuns.values().stream()
                .mapToLong(held -> Math.min(held.stopDueAt(), held.stopExpiresAfter(mNow)))
                .reduce(pollDueAt, Math::min);
    }

    /** Requests a poll if one is needed and due. */
    void pollIfDue() {
        if (!pollNeeded() || mNow < mPolls.dueAt()) {
            return;
        }
        mPolls.onSent();
        mPolledToken = mFencingToken.value();
        boolean renew = renewable() && !mLiveness.leaseMayHaveExpired();
        mActions.add(
                new PoolSidecarAction.Poll(
                        mTarget.get(),
                        mPolls.latest(),
                        renew ? Optional.of(mLiveness.requestLeaseByPoll()) : Optional.empty(),
                        mPolls.ackCursor(),
                        mHeldRuns.isEmpty() ? 0 : PollSchedule.WAIT_MILLIS,
                        mFencingToken.value()));
    }

    /** Returns whether all runs may go on for another lease. */
    private boolean renewable() {
        return !mHeldRuns.isEmpty()
                && !mHeldRuns.anyMustLapse(mNow)
                && mHeldRuns.owners().stream().noneMatch(mSilentEntries);
    }

    private boolean current(TargetIncarnation target) {
        return mTarget.filter(target::sameIncarnation).isPresent();
    }

    private void endRunsIfLeaseHasExpired() {
        if (!mHeldRuns.isEmpty() && mLiveness.leaseHasExpired()) {
            mEnds.endExpired(mLiveness.seemsGone(), mLiveness.gone(), mLiveness.silentMillis());
        }
    }
}
