package org.jackdawsaddle.internal.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReport;
import org.jackdawsaddle.pool.TargetLife;

/**
 * All decisions of a sidecar in a pool, without threads, sockets or clocks.
 *
 * <p>It is the only process that gives its target orders, so it has the last word on room: what it
 * has ordered takes room until the target has said that it ended. It stops the runs of an entry
 * that it hears no more.
 */
public final class PoolSidecarCore {
    /** A target that has not announced itself for this long takes no new work. */
    private static final long ANNOUNCEMENT_PATIENCE_MILLIS = 5_000;

    /** Between tries to keep a life of the target. */
    private static final long KEEP_RETRY_MILLIS = 2_000;

    /** How an entry stands with this sidecar. */
    private static final class EntryView {
        boolean mConnected;
        long mHeardAt;
        long mLostAt;
        long mHandledStarts;
        long mToldAt;
        final List<TaskReport> mUnsent = new ArrayList<>();
    }

    private final NodeId mSelf;
    private final String mDataCentre;
    private final RunTable mRuns;
    private final List<PoolSidecarAction> mActions = new ArrayList<>();
    private final long[] mCounts = new long[PoolSidecarCounter.values().length];
    private final Map<NodeId, EntryView> mEntries = new LinkedHashMap<>();
    private Optional<TargetLife> mTarget = Optional.empty();
    private long mAnnouncedUntil;
    private Optional<PoolMessage.ConfigurationPush> mConfiguration = Optional.empty();
    private Optional<TargetLife> mKept = Optional.empty();
    private long mKeepDueAt;
    private boolean mLeaving;
    private Demand mToldFree = Demand.NONE;
    private boolean mToldServing;
    private long mNow;

    /**
     * Creates the decisions of one sidecar.
     *
     * @param fence higher than that of any earlier life of this sidecar
     * @param leaseMillis the longest lease that the target grants, in milliseconds
     */
    public PoolSidecarCore(NodeId self, String dataCentre, long fence, long leaseMillis) {
        mSelf = self;
        mDataCentre = dataCentre;
        mRuns = new RunTable(mActions, this::report, this::count, fence, leaseMillis);
    }

    /**
     * Takes one event.
     *
     * @param now the clock in milliseconds since the epoch, which never goes back
     */
    public void handle(PoolSidecarEvent event, long now) {
        mNow = now;
        mRuns.at(now);
        switch (event) {
            case PoolSidecarEvent.TargetAnnounced announced -> onAnnounced(announced.life());
            case PoolSidecarEvent.TargetRecalled recalled -> onRecalled(recalled.life());
            case PoolSidecarEvent.TargetKept kept -> onKept(kept.life(), kept.kept());
            case PoolSidecarEvent.TargetWithdrawn withdrawn -> onWithdrawn(withdrawn.id());
            case PoolSidecarEvent.StartAnswered answered ->
                    mRuns.onStartAnswered(answered.run(), answered.reply());
            case PoolSidecarEvent.StopAnswered answered ->
                    mRuns.onStopAnswered(answered.run(), answered.answered());
            case PoolSidecarEvent.ListsAnswered answered ->
                    mRuns.onLists(answered.life(), answered.number(), answered.lists());
            case PoolSidecarEvent.EntryConnected connected -> onConnected(connected.entry());
            case PoolSidecarEvent.EntryLost lost -> onLost(lost.entry());
            case PoolSidecarEvent.EntrySent sent -> onEntrySent(sent.entry(), sent.message());
            case PoolSidecarEvent.Tick tick -> onTick();
            case PoolSidecarEvent.LeaveRequested leave -> mLeaving = true;
        }
    }

    /** Returns the actions that the events since the last call have led to. */
    public List<PoolSidecarAction> actions() {
        mRuns.pollIfDue();
        boolean roomChanged = !free().equals(mToldFree) || serving() != mToldServing;
        mEntries.forEach((entry, view) -> tell(entry, view, roomChanged));
        mToldFree = free();
        mToldServing = serving();
        List<PoolSidecarAction> actions = List.copyOf(mActions);
        mActions.clear();
        return actions;
    }

    /** Returns what a counter has counted. */
    public long counted(PoolSidecarCounter counter) {
        return mCounts[counter.ordinal()];
    }

    /** Returns whether the target takes new tasks. */
    public boolean serving() {
        return mTarget.filter(life -> !life.leaving()).isPresent()
                && mNow < mAnnouncedUntil
                && mRuns.clean()
                && mRuns.responsive()
                && !mLeaving;
    }

    /** Returns whether a shutdown would cut off no run. */
    public boolean idle() {
        return mRuns.empty();
    }

    /** Returns what is left of the target's capacity. */
    public Demand free() {
        return mTarget.map(life -> life.capacity().minus(mRuns.used())).orElse(Demand.NONE);
    }

    private void onAnnounced(TargetLife life) {
        if (mTarget.filter(known -> outdated(life, known)).isPresent()) {
            return;
        }
        boolean sameLife = mTarget.filter(life::sameLife).isPresent();
        boolean changed = !sameLife || !mTarget.get().capacity().equals(life.capacity());
        mTarget = Optional.of(life);
        mAnnouncedUntil = mNow + ANNOUNCEMENT_PATIENCE_MILLIS;
        mRuns.onTarget(life, sameLife);
        if (changed) {
            mEntries.forEach((entry, view) -> greet(entry, view, life));
        }
    }

    /**
     * Takes a life of the target that may have ended since; the sidecar serves only once the target
     * has answered as that life.
     */
    private void onRecalled(TargetLife life) {
        if (mTarget.isEmpty() && life.startedAt() > 0) {
            mKept = Optional.of(life);
            onAnnounced(life);
        }
    }

    private void onKept(TargetLife life, boolean kept) {
        if (kept) {
            mKept = Optional.of(life);
        } else {
            mKeepDueAt = mNow + KEEP_RETRY_MILLIS;
        }
    }

    /** Has a life kept that is not yet; only what tells lives apart and their size matters. */
    private void keepIfDue() {
        if (mTarget.isEmpty() || mNow < mKeepDueAt) {
            return;
        }
        TargetLife life = mTarget.get();
        boolean known =
                mKept.filter(life::sameLife)
                        .filter(kept -> kept.capacity().equals(life.capacity()))
                        .isPresent();
        if (!known) {
            mKeepDueAt = mNow + KEEP_RETRY_MILLIS;
            mActions.add(new PoolSidecarAction.KeepTarget(life.asFirst()));
        }
    }

    /** An announcement that was under way while a later one was taken, or of an earlier life. */
    private static boolean outdated(TargetLife life, TargetLife known) {
        return life.sameLife(known)
                ? life.sequence() <= known.sequence()
                : life.startedAt() < known.startedAt();
    }

    private void onWithdrawn(String id) {
        if (mTarget.filter(life -> life.id().equals(id)).isPresent()) {
            mAnnouncedUntil = 0;
        }
    }

    private void onConnected(NodeId entry) {
        EntryView view = mEntries.computeIfAbsent(entry, node -> new EntryView());
        view.mConnected = true;
        view.mHeardAt = mNow;
        view.mHandledStarts = 0;
        view.mToldAt = 0;
        mTarget.ifPresent(life -> greet(entry, view, life));
    }

    private void onLost(NodeId entry) {
        EntryView view = mEntries.get(entry);
        if (view != null && view.mConnected) {
            view.mConnected = false;
            view.mLostAt = mNow;
        }
    }

    private void greet(NodeId entry, EntryView view, TargetLife life) {
        if (view.mConnected) {
            mActions.add(
                    new PoolSidecarAction.SendToEntry(
                            entry,
                            new PoolMessage.Hello(
                                    mSelf,
                                    mDataCentre,
                                    life.id(),
                                    life.service(),
                                    life.capacity(),
                                    life.labels(),
                                    configurationVersion())));
            view.mToldAt = 0;
        }
    }

    private long configurationVersion() {
        return mConfiguration.map(PoolMessage.ConfigurationPush::version).orElse(0L);
    }

    private void onEntrySent(NodeId entry, PoolMessage message) {
        EntryView view = mEntries.get(entry);
        if (view == null || !view.mConnected) {
            return;
        }
        view.mHeardAt = mNow;
        switch (message) {
            case PoolMessage.Start start -> onStart(entry, view, start);
            case PoolMessage.Stop stop -> stop.runs().forEach(run -> mRuns.stop(entry, run));
            case PoolMessage.Resume resume ->
                    resume.runs().forEach(run -> report(entry, run, mRuns.standing(run)));
            case PoolMessage.Ping ping -> onPing(entry, ping);
            case PoolMessage.ConfigurationPush push -> onConfiguration(push);
            case PoolMessage.Welcome welcome -> view.mConnected = true;
            default -> throw new IllegalArgumentException("Not for a sidecar: " + message);
        }
    }

    private void onPing(NodeId entry, PoolMessage.Ping ping) {
        if (mConfiguration.isPresent() && ping.configurationVersion() < configurationVersion()) {
            mActions.add(new PoolSidecarAction.SendToEntry(entry, mConfiguration.get()));
        }
    }

    private void onConfiguration(PoolMessage.ConfigurationPush push) {
        if (push.version() > configurationVersion()) {
            mConfiguration = Optional.of(push);
        }
    }

    private void onStart(NodeId entry, EntryView view, PoolMessage.Start start) {
        view.mHandledStarts = start.number();
        view.mToldAt = 0;
        boolean current = start.clock() >= mNow - PoolTiming.ORDER_MILLIS;
        for (PoolMessage.StartTask task : start.tasks()) {
            Optional<ReportKind> refusal = refusal(task, current);
            if (refusal.isPresent()) {
                count(PoolSidecarCounter.STARTS_REFUSED);
                report(entry, task.run(), refusal.get());
            } else {
                mRuns.start(entry, task);
            }
        }
    }

    private Optional<ReportKind> refusal(PoolMessage.StartTask task, boolean current) {
        if (!current || !serving()) {
            return Optional.of(ReportKind.NOT_SERVING);
        }
        if (mRuns.holdsTask(task.run().task()) || !task.demand().fitsIn(free())) {
            return Optional.of(ReportKind.NO_ROOM);
        }
        return Optional.empty();
    }

    private void onTick() {
        mEntries.forEach((entry, view) -> {
            if (view.mConnected && mNow - view.mHeardAt > PoolTiming.SILENCE_MILLIS) {
                mActions.add(new PoolSidecarAction.DropEntry(entry));
                onLost(entry);
            }
        });
        mRuns.stopAll(this::orphaned);
        mEntries.entrySet()
                .removeIf(entry ->
                        !entry.getValue().mConnected
                                && longLost(entry.getValue())
                                && !mRuns.ownedBy(entry.getKey()));
        mRuns.onTick();
        keepIfDue();
    }

    private boolean orphaned(NodeId owner) {
        EntryView view = mEntries.get(owner);
        return view == null || !view.mConnected && longLost(view);
    }

    private boolean longLost(EntryView view) {
        return mNow - view.mLostAt >= PoolTiming.RECONNECT_MILLIS;
    }

    private void tell(NodeId entry, EntryView view, boolean roomChanged) {
        if (!view.mConnected || mTarget.isEmpty()) {
            return;
        }
        if (!view.mUnsent.isEmpty()) {
            PoolMessage reports = new PoolMessage.TaskReports(List.copyOf(view.mUnsent));
            mActions.add(new PoolSidecarAction.SendToEntry(entry, reports));
            view.mUnsent.clear();
        }
        if (roomChanged || mNow - view.mToldAt >= PoolTiming.PING_MILLIS) {
            List<String> orphans = mRuns.jobsOf(this::orphaned);
            mActions.add(
                    new PoolSidecarAction.SendToEntry(
                            entry,
                            new PoolMessage.Room(
                                    free(), serving(), mNow, view.mHandledStarts, orphans)));
            view.mToldAt = mNow;
        }
    }

    private void report(NodeId owner, Run run, ReportKind kind) {
        EntryView view = mEntries.get(owner);
        if (view != null) {
            view.mUnsent.add(new TaskReport(run, kind));
        }
    }

    private void count(PoolSidecarCounter counter) {
        mCounts[counter.ordinal()]++;
    }
}
