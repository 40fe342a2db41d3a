package org.jackdawsaddle.internal.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.message.PoolMessage.StartTask;
import org.jackdawsaddle.pool.TargetLife;
import org.jackdawsaddle.pool.TargetLists;
import org.jackdawsaddle.pool.TargetPort.StartReply;

/**
 * The runs that a sidecar has ordered at its target, kept in step with the target's own lists.
 *
 * <p>A run leaves the table, and its room becomes free, only when the target has refused it, has
 * listed its end, has left it out of lists that were asked for after the order was answered, or has
 * been silent for longer than any lease lasts.
 */
final class RunTable {
    /** How long a call for lists may wait for an end; if it is lost, so long are ends not seen. */
    private static final long POLL_WAIT_MILLIS = 80;

    private static final long POLL_RETRY_MILLIS = 50;
    private static final long STOP_RETRY_MILLIS = 100;
    private static final int REMEMBERED_ENDS = 2_000;

    /** Tells an entry what became of one of its runs. */
    interface Reporter {
        void report(NodeId owner, Run run, ReportKind kind);
    }

    private final List<PoolSidecarAction> mActions;
    private final Reporter mReporter;
    private final Consumer<PoolSidecarCounter> mCounter;
    private final long mFence;
    private final TargetContact mContact;
    private final Map<Run, HeldRun> mHeld = new LinkedHashMap<>();
    private final Map<Run, ReportKind> mEnded =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Run, ReportKind> eldest) {
                    return size() > REMEMBERED_ENDS;
                }
            };
    private Optional<TargetLife> mTarget = Optional.empty();
    private boolean mClean;
    private long mPollNumber;
    private boolean mPollOut;
    private long mPollDueAt;
    private long mConfirmed;
    private long mToldConfirmed;
    private long mNow;

    RunTable(
            List<PoolSidecarAction> actions,
            Reporter reporter,
            Consumer<PoolSidecarCounter> counter,
            long fence,
            long leaseMillis) {
        mActions = actions;
        mReporter = reporter;
        mCounter = counter;
        mFence = fence;
        mContact = new TargetContact(leaseMillis);
    }

    void at(long now) {
        mNow = now;
        mContact.at(now);
    }

    boolean empty() {
        return mHeld.isEmpty() && mToldConfirmed == mConfirmed;
    }

    /** Returns whether the target answers. */
    boolean responsive() {
        return mContact.responsive();
    }

    /** Returns whether the target runs nothing that this sidecar did not order. */
    boolean clean() {
        return mClean;
    }

    Demand used() {
        Demand used = Demand.NONE;
        for (HeldRun held : mHeld.values()) {
            used = used.plus(held.mTask.demand());
        }
        return used;
    }

    boolean holdsTask(String task) {
        return mHeld.keySet().stream().anyMatch(run -> run.task().equals(task));
    }

    boolean ownedBy(NodeId owner) {
        return mHeld.values().stream().anyMatch(held -> held.mOwner.equals(owner));
    }

    List<String> jobsOf(Predicate<NodeId> owners) {
        return mHeld.values().stream()
                .filter(held -> owners.test(held.mOwner))
                .map(HeldRun::job)
                .distinct()
                .toList();
    }

    /** Returns what is known of a run; one that is not known did not start. */
    ReportKind standing(Run run) {
        return mHeld.containsKey(run)
                ? ReportKind.HELD
                : mEnded.getOrDefault(run, ReportKind.NOT_SERVING);
    }

    void onTarget(TargetLife life, boolean sameLife) {
        mTarget = Optional.of(life);
        mContact.noteClock(life.clock());
        if (!sameLife) {
            EventLog.line(Event.TARGET_FOUND)
                    .with("target", life.id())
                    .with("started_at", life.startedAt())
                    .with("runs", mHeld.size())
                    .write();
            mCounter.accept(PoolSidecarCounter.TARGET_LIVES);
            settleAll();
            mClean = false;
            mPollOut = false;
            mPollNumber++;
            mConfirmed = 0;
            mToldConfirmed = 0;
            mContact.heard();
        }
    }

    /**
     * Lets the lists of a new life tell what became of the runs: it may have started one that was
     * meant for the life before it. Orders that are out are settled by their answers.
     */
    private void settleAll() {
        mHeld.values().stream()
                .filter(held -> held.mState == HeldRun.State.RUNNING)
                .forEach(held -> held.mSettledAtPoll = mPollNumber + 2);
    }

    void start(NodeId owner, StartTask task) {
        TargetLife life = mTarget.orElseThrow();
        mCounter.accept(PoolSidecarCounter.STARTS_ORDERED);
        if (mHeld.isEmpty()) {
            mContact.heard();
        }
        mHeld.put(task.run(), new HeldRun(owner, task));
        mActions.add(
                new PoolSidecarAction.StartRun(
                        life, task.run(), task.payload(), mContact.leaseEnd(), mFence));
    }

    void stop(NodeId owner, Run run) {
        HeldRun held = mHeld.get(run);
        if (held != null && held.mOwner.equals(owner)) {
            stop(held);
        }
    }

    void stopAll(Predicate<NodeId> owners) {
        for (HeldRun held : mHeld.values()) {
            if (held.mState != HeldRun.State.STOPPING && owners.test(held.mOwner)) {
                mCounter.accept(PoolSidecarCounter.RUNS_ORPHANED);
                logStop(held.mTask.run(), "entry lost: " + held.mOwner);
                stop(held);
            }
        }
    }

    private void stop(HeldRun held) {
        if (held.mState != HeldRun.State.STOPPING) {
            held.mState = HeldRun.State.STOPPING;
            held.mSettledAtPoll = Long.MAX_VALUE;
            orderStop(held);
        }
    }

    private void orderStop(HeldRun held) {
        held.mStopOut = true;
        held.mStopDueAt = mNow + STOP_RETRY_MILLIS;
        mCounter.accept(PoolSidecarCounter.STOPS_ORDERED);
        mActions.add(
                new PoolSidecarAction.StopRun(mTarget.orElseThrow(), held.mTask.run(), mFence));
    }

    void onStartAnswered(Run run, StartReply reply) {
        HeldRun held = mHeld.get(run);
        if (held == null) {
            return;
        }
        switch (reply) {
            case STARTED -> onStarted(held);
            case UNANSWERED -> onUnanswered(held);
            case OUTDATED -> refused(held, ReportKind.OUTDATED);
            case NO_ROOM -> refused(held, ReportKind.NO_ROOM);
            case FENCED, REFUSED, UNREACHABLE -> {
                logRun(Event.RUN_REFUSED, run).with("reason", reply).write();
                refused(held, ReportKind.REJECTED);
            }
        }
    }

    private void onStarted(HeldRun held) {
        mContact.heard();
        if (held.mState == HeldRun.State.STARTING) {
            held.mState = HeldRun.State.RUNNING;
            held.mSettledAtPoll = mPollNumber + 1;
        }
    }

    /** The order may still be carried out; a stop that is answered bars that. */
    private void onUnanswered(HeldRun held) {
        mCounter.accept(PoolSidecarCounter.STARTS_UNANSWERED);
        if (held.mState != HeldRun.State.STARTING) {
            return;
        }
        if (held.mListed) {
            onStarted(held);
        } else {
            logRun(Event.RUN_UNANSWERED, held.mTask.run()).write();
            stop(held);
        }
    }

    private void refused(HeldRun held, ReportKind kind) {
        mCounter.accept(PoolSidecarCounter.STARTS_REFUSED);
        end(held, kind);
    }

    void onStopAnswered(Run run, boolean answered) {
        HeldRun held = mHeld.get(run);
        if (held == null) {
            return;
        }
        held.mStopOut = false;
        if (answered) {
            mContact.heard();
            held.mSettledAtPoll = mPollNumber + 1;
        }
    }

    void onLists(TargetLife life, long number, Optional<TargetLists> answer) {
        if (number != mPollNumber || !current(life)) {
            return;
        }
        mPollOut = false;
        if (answer.isEmpty()) {
            mCounter.accept(PoolSidecarCounter.POLLS_UNANSWERED);
            mContact.unanswered(life);
            mPollDueAt = mNow + POLL_RETRY_MILLIS;
            return;
        }
        TargetLists lists = answer.get();
        if (lists.startedAt() != 0 && lists.startedAt() != life.startedAt()) {
            return;
        }
        mContact.answered(lists.clock());
        lists.ended().forEach(this::onEnded);
        List<Run> running =
                lists.running().stream().map(held -> new Run(held.task(), held.run())).toList();
        running.stream().map(mHeld::get).filter(Objects::nonNull).forEach(HeldRun::listed);
        List<Run> strangers = running.stream().filter(run -> !mHeld.containsKey(run)).toList();
        strangers.forEach(this::stopStranger);
        mClean = mClean || strangers.isEmpty();
        mPollDueAt = mClean ? mNow : mNow + POLL_RETRY_MILLIS;
        List<HeldRun> missing =
                mHeld.values().stream()
                        .filter(held -> held.mSettledAtPoll <= number)
                        .filter(held -> !running.contains(held.mTask.run()))
                        .toList();
        missing.forEach(held -> {
            mCounter.accept(PoolSidecarCounter.RUNS_LOST);
            end(held, ReportKind.ENDED);
        });
    }

    private void onEnded(TargetLists.Ended ended) {
        if (ended.number() <= mConfirmed) {
            return;
        }
        mConfirmed = ended.number();
        Run run = new Run(ended.task(), ended.run());
        ReportKind kind =
                switch (ended.how()) {
                    case DONE -> ReportKind.DONE;
                    case FAILED -> ReportKind.FAILED;
                    case CUT_OFF -> ReportKind.ENDED;
                };
        HeldRun held = mHeld.get(run);
        if (held != null) {
            mCounter.accept(
                    switch (ended.how()) {
                        case DONE -> PoolSidecarCounter.RUNS_DONE;
                        case FAILED -> PoolSidecarCounter.RUNS_FAILED;
                        case CUT_OFF -> PoolSidecarCounter.RUNS_CUT_OFF;
                    });
            end(held, kind);
        }
    }

    /** An order of an earlier life of this sidecar, or one carried out after it was given up. */
    private void stopStranger(Run run) {
        mCounter.accept(PoolSidecarCounter.RUNS_OF_OTHERS);
        logStop(run, "not ordered here");
        mActions.add(new PoolSidecarAction.StopRun(mTarget.orElseThrow(), run, mFence));
    }

    private static EventLog.Line logRun(Event event, Run run) {
        return EventLog.line(event)
                .with("job", TaskNames.job(run.task()))
                .with("task", run.task())
                .with("run", run.run());
    }

    private static void logStop(Run run, String reason) {
        logRun(Event.RUN_STOPPED, run).with("reason", reason).write();
    }

    void onTick() {
        for (HeldRun held : mHeld.values()) {
            boolean unanswered = held.mSettledAtPoll == Long.MAX_VALUE && !held.mStopOut;
            if (held.mState == HeldRun.State.STOPPING && unanswered && mNow >= held.mStopDueAt) {
                orderStop(held);
            }
        }
        if (!mHeld.isEmpty() && mContact.leasesAreOver()) {
            EventLog.line(Event.RUNS_LOST)
                    .with("runs", mHeld.keySet())
                    .with("silent_ms", mContact.silentMillis())
                    .write();
            loseAll();
        }
    }

    /** Orders a call for lists if anything runs, if ends wait to be confirmed, or at first. */
    void pollIfDue() {
        boolean wanted =
                !mHeld.isEmpty()
                        || !mClean
                        || mToldConfirmed != mConfirmed
                        || !mContact.responsive();
        if (mTarget.isEmpty() || mPollOut || !wanted || mNow < mPollDueAt) {
            return;
        }
        mPollOut = true;
        mPollNumber++;
        mToldConfirmed = mConfirmed;
        boolean renew = !mHeld.isEmpty() && !mContact.leasesMayBeOver();
        mActions.add(
                new PoolSidecarAction.Poll(
                        mTarget.get(),
                        mPollNumber,
                        renew ? Optional.of(mContact.leaseEnd()) : Optional.empty(),
                        mConfirmed,
                        mHeld.isEmpty() ? 0 : POLL_WAIT_MILLIS,
                        mFence));
    }

    private boolean current(TargetLife life) {
        return mTarget.filter(life::sameLife).isPresent();
    }

    private void loseAll() {
        for (HeldRun held : new ArrayList<>(mHeld.values())) {
            mCounter.accept(PoolSidecarCounter.RUNS_LOST);
            end(held, ReportKind.ENDED);
        }
    }

    private void end(HeldRun held, ReportKind kind) {
        Run run = held.mTask.run();
        mHeld.remove(run);
        mEnded.put(run, kind);
        mReporter.report(held.mOwner, run, kind);
    }
}
