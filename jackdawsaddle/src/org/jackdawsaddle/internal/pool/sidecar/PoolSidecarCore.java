package org.jackdawsaddle.internal.pool.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReport;
import org.jackdawsaddle.internal.pool.PoolTiming;
import org.jackdawsaddle.pool.RunSnapshot;
import org.jackdawsaddle.pool.TargetGateway.PollReply;
import org.jackdawsaddle.pool.TargetIncarnation;

/**
 * The state machine of a pool sidecar. It uses no threads, sockets or clocks: it takes events with
 * the current time and returns actions.
 *
 * <p>Only this sidecar sends orders to its target, so it has the final say on capacity: a run that
 * it has ordered keeps its share of the target's capacity until it is known to have ended. Runs
 * whose entry has been disconnected for too long are stopped.
 */
public final class PoolSidecarCore {
    private final NodeId mSelf;
    private final String mDataCentre;
    private final RunTable mRuns;
    private final List<PoolSidecarAction> mActions = new ArrayList<>();
    private final long[] mCounts = new long[PoolSidecarCounter.values().length];
    private final EntryTable mEntries = new EntryTable();
    private final CrashedTasks mCrashedTasks = new CrashedTasks();
    private final KnownTarget mKnownTarget = new KnownTarget();

    private final RelayedState mRelayed = new RelayedState();
    private final SavedTarget mSavedTarget = new SavedTarget(mRelayed::contradicts);

    private boolean mLeaving;

    /** When the last tick was, in milliseconds since the epoch; 0 before the first one. */
    private long mLastTickAt;

    private long mNow;

    /**
     * Creates the state of a sidecar without target and entries.
     *
     * @param fencingToken should be higher than that of any earlier incarnation of this sidecar; it
     *     is raised until the target accepts it
     * @param leaseMillis the longest lease that the target grants, in milliseconds
     */
    public PoolSidecarCore(NodeId self, String dataCentre, long fencingToken, long leaseMillis) {
        mSelf = self;
        mDataCentre = dataCentre;
        mRuns =
                new RunTable(
                        mActions,
                        this::report,
                        this::count,
                        entry -> mEntries.silent(entry, mNow),
                        fencingToken,
                        leaseMillis);
    }

    /**
     * Processes an event.
     *
     * @param now the current time in milliseconds since the epoch; must never go back
     */
    public void handle(PoolSidecarEvent event, long now) {
        mNow = now;
        mRuns.advanceTo(now);
        switch (event) {
            case PoolSidecarEvent.TargetAnnounced announced -> onAnnounced(announced.target());
            case PoolSidecarEvent.TargetLoaded loaded -> onTargetLoaded(loaded.target());
            case PoolSidecarEvent.TargetSaved saved -> onTargetSaved(saved.target(), saved.saved());
            case PoolSidecarEvent.TargetWithdrawn withdrawn -> onWithdrawn(withdrawn.targetName());
            case PoolSidecarEvent.StartAnswered answered ->
                    mRuns.onStartAnswered(answered.run(), answered.reply());
            case PoolSidecarEvent.StopAnswered answered ->
                    mRuns.onStopAnswered(answered.run(), answered.confirmed());
            case PoolSidecarEvent.PollAnswered answered -> onPollAnswered(answered);
            case PoolSidecarEvent.EntryConnected connected -> onConnected(connected.entry());
            case PoolSidecarEvent.EntryLost lost -> onLost(lost.entry());
            case PoolSidecarEvent.EntrySent sent -> onEntrySent(sent.entry(), sent.message());
            case PoolSidecarEvent.Tick tick -> onTick();
            case PoolSidecarEvent.LeaveRequested leave -> mLeaving = true;
        }
    }

    /** Returns and clears the actions that events have caused since the last call. */
    public List<PoolSidecarAction> actions() {
        mRuns.pollIfDue();
        if (target().isPresent()) {
            sendUpdates();
        }
        List<PoolSidecarAction> actions = List.copyOf(mActions);
        mActions.clear();
        return actions;
    }

    /** Sends each entry the reports on its runs and the free capacity, as far as they are due. */
    private void sendUpdates() {
        Set<NodeId> owners = mRuns.held().owners();
        List<HeldRun> unsettled =
                mRuns.held().unsettled(entry -> mEntries.unsettled(entry, mNow), mNow);
        PoolMessage.Room room = new PoolMessage.Room(free(), serving(), mNow, 0, 0, List.of());
        mEntries.forEach((entry, view) ->
                view.takeUpdates(
                                room.withUnsettledJobs(HeldRuns.jobsOfOthers(entry, unsettled)),
                                handled -> mRuns.held().settledStarts(entry, handled),
                                owners.contains(entry),
                                mNow)
                        .forEach(update ->
                                mActions.add(new PoolSidecarAction.SendToEntry(entry, update))));
    }

    /** Returns the value of a counter. */
    public long counterValue(PoolSidecarCounter counter) {
        return mCounts[counter.ordinal()];
    }

    /**
     * Returns whether the sidecar accepts new tasks: the target is announced, responsive and not
     * leaving, the latest snapshot of its incarnation lists no run that this sidecar does not hold,
     * the sidecar is not about to stop, and its data centre is not evacuated.
     */
    public boolean serving() {
        return mKnownTarget.available(mNow)
                && mRuns.reconciled()
                && mRuns.responsive()
                && !mLeaving
                && !evacuated();
    }

    /** Returns whether the target gets no new tasks as its data centre is evacuated. */
    public boolean evacuated() {
        return mRelayed.evacuated(mDataCentre);
    }

    /** Returns whether no run is left and a poll that acknowledges all ended runs was sent. */
    public boolean idle() {
        return mRuns.idle();
    }

    /** Returns the capacity of the target that its runs leave free; none without a target. */
    public Demand free() {
        return target().map(target -> target.capacity().minus(mRuns.held().used()))
                .orElse(Demand.NONE);
    }

    private Optional<TargetIncarnation> target() {
        return mKnownTarget.target();
    }

    private void onAnnounced(TargetIncarnation target) {
        if (mKnownTarget.accepts(target, mRelayed::namesService, mNow)) {
            adopt(target);
        }
    }

    private void adopt(TargetIncarnation announced) {
        Optional<TargetIncarnation> before = target();
        mKnownTarget.onAnnounced(announced, mNow);
        onTargetChanged(before, announced);
    }

    /**
     * Takes over a newer configuration. It tells which announcement was that of another writer, if
     * targets of several services have been announced.
     */
    private void onConfiguration(NodeId entry, PoolMessage.ConfigurationPush push) {
        if (mRelayed.onConfiguration(entry, push)) {
            mKnownTarget.takeCorrection(mRelayed::namesService, mNow).ifPresent(this::adopt);
        }
    }

    /** Handles an incarnation that has not announced itself: it is only polled until it has. */
    private void onDiscovered(TargetIncarnation target) {
        Optional<TargetIncarnation> before = target();
        mKnownTarget.onDiscovered(target);
        onTargetChanged(before, target);
    }

    private void onTargetChanged(Optional<TargetIncarnation> before, TargetIncarnation target) {
        boolean sameIncarnation = before.filter(target::sameIncarnation).isPresent();
        boolean resized = sameIncarnation && !before.get().capacity().equals(target.capacity());
        boolean changed = before.filter(target::sameDescription).isEmpty();
        mRuns.onTarget(target, sameIncarnation);
        if (changed) {
            mEntries.forEach((entry, view) -> sendHello(entry, view, target));
        }
        if (resized) {
            EventLog.line(Event.TARGET_RESIZED)
                    .with("target", target.id())
                    .with("capacity", target.capacity())
                    .with("free", free())
                    .write();
        }
    }

    /**
     * Handles an incarnation of the target that was loaded from the store, unless one is known. It
     * may have ended since, or have less capacity now, so the sidecar only polls it, and serves
     * once the target has announced itself.
     */
    private void onTargetLoaded(TargetIncarnation target) {
        if (target().isEmpty() && target.startedAt() > 0) {
            mSavedTarget.onSaved(target);
            onDiscovered(target);
        }
    }

    private void onPollAnswered(PoolSidecarEvent.PollAnswered answered) {
        if (answered.reply() instanceof PollReply.Answered reply) {
            adoptIfRestarted(reply.snapshot());
        }
        mRuns.onPollAnswered(answered.target(), answered.number(), answered.reply());
    }

    /**
     * Handles the first answer of an incarnation that has started since under the target's name. It
     * may run what was ordered from the earlier one, under leases by its own clock, and its
     * capacity is unknown until it announces itself.
     */
    private void adoptIfRestarted(RunSnapshot snapshot) {
        mKnownTarget.restarted(snapshot, mNow).ifPresent(this::onDiscovered);
    }

    private void onTargetSaved(TargetIncarnation target, boolean saved) {
        if (saved) {
            mSavedTarget.onSaved(target);
        } else {
            mSavedTarget.onSaveFailed(mNow);
        }
    }

    private void saveIfDue() {
        target().filter(target -> mSavedTarget.takeDue(target, mNow))
                .ifPresent(target ->
                        mActions.add(new PoolSidecarAction.SaveTarget(target.withSequenceReset())));
    }

    private void onWithdrawn(String targetName) {
        if (target().filter(target -> target.id().equals(targetName)).isPresent()) {
            mKnownTarget.onWithdrawn();
            mRuns.onTargetWithdrawn();
        }
    }

    private void onConnected(NodeId entry) {
        EntryView view = mEntries.connect(entry, mNow);
        mRuns.held().onConnected(entry);
        mCrashedTasks.reports().forEach(view::addReport);
        target().ifPresent(target -> sendHello(entry, view, target));
    }

    private void onLost(NodeId entry) {
        mEntries.findConnected(entry).ifPresent(view -> view.onLost(mNow));
    }

    private void sendHello(NodeId entry, EntryView view, TargetIncarnation target) {
        if (view.connected()) {
            mActions.add(
                    new PoolSidecarAction.SendToEntry(
                            entry,
                            new PoolMessage.Hello(
                                    mSelf,
                                    mDataCentre,
                                    target.id(),
                                    target.service(),
                                    target.capacity(),
                                    target.labels(),
                                    mRelayed.configurationVersion(),
                                    mRelayed.evacuationRevision())));
            view.requestRoom();
        }
    }

    private void onEntrySent(NodeId entry, PoolMessage message) {
        mEntries.findConnected(entry).ifPresent(view -> onEntrySent(entry, view, message));
    }

    private void onEntrySent(NodeId entry, EntryView view, PoolMessage message) {
        view.onHeard(mNow);
        switch (message) {
            case PoolMessage.Start start -> onStart(entry, view, start);
            case PoolMessage.Stop stop ->
                    stop.runs().forEach(run -> mRuns.stops().stop(entry, run));
            case PoolMessage.Resume resume -> onResume(entry, resume.runs());
            case PoolMessage.Ping ping -> onPing(entry, view, ping);
            case PoolMessage.ConfigurationPush push -> onConfiguration(entry, push);
            case PoolMessage.EvacuationPush push ->
                    mRelayed.onEvacuation(entry, push, mDataCentre, mRuns.held().runs().size());
            default ->
                    throw new IllegalArgumentException(
                            "Unexpected message from an entry: " + message);
        }
    }

    /** Reports the states of the runs that an entry knows of, and stops its other ones. */
    private void onResume(NodeId entry, List<Run> runs) {
        mRuns.stops().stopRunsOfExcept(entry, runs);
        runs.forEach(run -> report(entry, new TaskReport(run, mRuns.statusOf(run))));
    }

    private void onPing(NodeId entry, EntryView view, PoolMessage.Ping ping) {
        view.onPing(ping, mNow);
        mRelayed.newerThan(ping)
                .forEach(push -> mActions.add(new PoolSidecarAction.SendToEntry(entry, push)));
    }

    private void onStart(NodeId entry, EntryView view, PoolMessage.Start start) {
        view.onStart(start);
        boolean current = start.clock() >= mNow - PoolTiming.MAX_ORDER_AGE_MILLIS;
        for (PoolMessage.StartTask task : start.tasks()) {
            Optional<ReportKind> refusal = refusal(task, current);
            if (refusal.isPresent()) {
                count(PoolSidecarCounter.STARTS_REFUSED);
                report(entry, new TaskReport(task.run(), refusal.get()));
            } else {
                mRuns.start(entry, start.number(), task);
            }
        }
    }

    private Optional<ReportKind> refusal(PoolMessage.StartTask task, boolean current) {
        if (!current || !serving()) {
            return Optional.of(ReportKind.NOT_SERVING);
        }
        if (mRuns.held().holdsTask(task.run().task()) || !task.demand().fitsIn(free())) {
            return Optional.of(ReportKind.NO_ROOM);
        }
        return mCrashedTasks.contains(task.run().task())
                ? Optional.of(ReportKind.NOT_SERVING)
                : Optional.empty();
    }

    /**
     * Returns when the next tick is due: at the earliest deadline, in milliseconds since the epoch;
     * 0 for at once.
     */
    public long nextTickAt() {
        if (mLastTickAt == 0) {
            return 0;
        }
        long latest = mLastTickAt + PoolTiming.IDLE_REPORT_INTERVAL_MILLIS;
        long earliest = mLastTickAt + PoolTiming.TICK_INTERVAL_MILLIS;
        return Math.clamp(nextDeadline(), earliest, latest);
    }

    private long nextDeadline() {
        if (target().isEmpty()) {
            return Long.MAX_VALUE;
        }
        long deadline = Math.min(mRuns.nextDeadline(), targetDeadline(target().get()));
        return Math.min(deadline, mEntries.nextDeadline(free(), mRuns.held().owners(), mNow));
    }

    /** Returns when the target's announcement times out or its incarnation must be saved. */
    private long targetDeadline(TargetIncarnation target) {
        long expiresAt = mKnownTarget.announcementExpiresAt(mNow);
        return Math.min(expiresAt, mSavedTarget.dueAt(target));
    }

    private void onTick() {
        mLastTickAt = mNow;
        Set<NodeId> owners = mRuns.held().owners();
        mEntries.markTimedOut(owners, mNow)
                .forEach(entry -> mActions.add(new PoolSidecarAction.DisconnectEntry(entry)));
        mRuns.stops().stopRunsOf(owner -> mEntries.reconnectTimedOut(owner, mNow));
        mEntries.evict(owners, mNow);
        mRuns.onTick();
        mCrashedTasks.evictExpired(mNow);
        saveIfDue();
    }

    /**
     * Queues a report until the entry is connected; drops it if the entry is not known any more. A
     * run that may have crashed the target is reported to all entries.
     */
    private void report(NodeId owner, TaskReport report) {
        if (report.kind() == ReportKind.SUSPECTED) {
            mCrashedTasks.add(report, mNow);
            mEntries.forEach((entry, view) -> view.addReport(report));
        } else {
            mEntries.find(owner).ifPresent(view -> view.addReport(report));
        }
    }

    private void count(PoolSidecarCounter counter) {
        mCounts[counter.ordinal()]++;
    }
}
