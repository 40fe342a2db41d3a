package org.jackdawsaddle.internal.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.dispatch.Timing;
import org.jackdawsaddle.internal.message.EntryMessage;
import org.jackdawsaddle.internal.message.SidecarMessage;
import org.jackdawsaddle.internal.message.SidecarMessage.ConfigurationApplied;
import org.jackdawsaddle.internal.message.SidecarMessage.InquiryAnswer;
import org.jackdawsaddle.internal.message.SidecarMessage.LeaseRenewed;
import org.jackdawsaddle.internal.message.SidecarMessage.Sealed;
import org.jackdawsaddle.internal.message.SidecarMessage.SidecarHello;
import org.jackdawsaddle.internal.message.SidecarMessage.TaskResults;
import org.jackdawsaddle.internal.message.StartTask;
import org.jackdawsaddle.internal.message.TaskKey;
import org.jackdawsaddle.internal.message.TaskResult;
import org.jackdawsaddle.internal.sidecar.SidecarEvent.Announcement;
import org.jackdawsaddle.internal.sidecar.SidecarEvent.TargetAnswered;

/**
 * All decisions of a sidecar, without threads, sockets or clocks. It is the only process that
 * starts work on its target, and so the last word on slots, resources, duplicates and leases.
 */
public final class SidecarCore {
    private static final long ANNOUNCEMENT_PATIENCE_MILLIS = 5_000;

    private record Running(StartTask task, int partition) {}

    private final NodeId mSelf;
    private final String mDataCentre;
    private final long mStartedAt;
    private final StartedTasks mStarted = new StartedTasks();
    private final Map<Integer, SealedPartition> mPartitions = new HashMap<>();
    private final Map<TaskKey, Running> mRunning = new LinkedHashMap<>();
    private final Set<NodeId> mEntries = new LinkedHashSet<>();
    private final Map<Integer, List<TaskResult>> mUnsent = new LinkedHashMap<>();
    private final List<SidecarAction> mActions = new ArrayList<>();
    private final long[] mCounts = new long[SidecarCounter.values().length];
    private Optional<Announcement> mTarget = Optional.empty();
    private long mAnnouncedUntil;
    private Demand mDemand = Demand.NONE;
    private long mRevision;
    private boolean mDrained;
    private int mSlotLimit;
    private boolean mLeaving;
    private long mNow;

    /**
     * Creates the decisions of one sidecar.
     *
     * @param startedAt the time in milliseconds since the epoch before which it started nothing
     */
    public SidecarCore(NodeId self, String dataCentre, long startedAt) {
        mSelf = self;
        mDataCentre = dataCentre;
        mStartedAt = startedAt;
    }

    /**
     * Takes one event.
     *
     * @param now the clock in milliseconds since the epoch, which never goes back
     */
    public void handle(SidecarEvent event, long now) {
        mNow = now;
        switch (event) {
            case SidecarEvent.TargetAnnounced announced -> onAnnounced(announced.announcement());
            case SidecarEvent.TargetWithdrawn withdrawn -> onWithdrawn();
            case TargetAnswered answered -> onTargetAnswered(answered);
            case SidecarEvent.EntryConnected connected -> onEntryConnected(connected.entry());
            case SidecarEvent.EntryLost lost -> mEntries.remove(lost.entry());
            case SidecarEvent.EntrySent sent -> onEntrySent(sent.entry(), sent.message());
            case SidecarEvent.Tick tick -> onTick();
            case SidecarEvent.LeaveRequested leave -> onLeave();
        }
    }

    /** Returns the actions that the events since the last call have led to. */
    public List<SidecarAction> actions() {
        mUnsent.forEach(this::sendResults);
        mUnsent.clear();
        List<SidecarAction> actions = List.copyOf(mActions);
        mActions.clear();
        return actions;
    }

    /** Returns what a counter has counted. */
    public long counted(SidecarCounter counter) {
        return mCounts[counter.ordinal()];
    }

    /** Returns whether a shutdown would cut off no task, and lose nothing that owners rely on. */
    public boolean idle() {
        return mRunning.isEmpty()
                && mPartitions.values().stream()
                        .allMatch(partition -> partition.mReleased || partition.mEpoch == 0);
    }

    /** Returns whether the target takes new work. */
    public boolean serving() {
        return mTarget.isPresent() && mNow < mAnnouncedUntil && !mLeaving;
    }

    /** Returns the revision in force, 0 for none. */
    public long revision() {
        return mRevision;
    }

    /** Returns how many tasks are remembered. */
    public int remembered() {
        return mStarted.size();
    }

    private void onAnnounced(Announcement announcement) {
        boolean changed = !serving() || !sameButUse(announcement);
        mTarget = Optional.of(announcement);
        mAnnouncedUntil = mNow + ANNOUNCEMENT_PATIENCE_MILLIS;
        if (changed) {
            announce();
        }
    }

    private boolean sameButUse(Announcement other) {
        return mTarget.filter(known ->
                        known.target().equals(other.target())
                                && known.service().equals(other.service())
                                && known.address().equals(other.address())
                                && known.slots() == other.slots()
                                && known.capacity().equals(other.capacity()))
                .isPresent();
    }

    private void onWithdrawn() {
        mAnnouncedUntil = 0;
        announce();
    }

    private void onLeave() {
        mLeaving = true;
        announce();
    }

    private void onTick() {
        if (mTarget.isPresent() && mAnnouncedUntil > 0 && mNow >= mAnnouncedUntil) {
            onWithdrawn();
        }
        mStarted.forget(mNow);
    }

    private void onEntryConnected(NodeId entry) {
        mEntries.add(entry);
        mTarget.ifPresent(target -> send(entry, hello(target)));
    }

    private void announce() {
        mTarget.ifPresent(target -> mEntries.forEach(entry -> send(entry, hello(target))));
    }

    private SidecarHello hello(Announcement target) {
        return new SidecarHello(
                mSelf,
                target.target(),
                target.service(),
                mDataCentre,
                target.slots(),
                target.connections(),
                target.capacity(),
                serving(),
                mStartedAt,
                mRevision,
                mLeaving);
    }

    private void onEntrySent(NodeId entry, EntryMessage message) {
        switch (message) {
            case EntryMessage.StartTasks start ->
                    start.tasks().forEach(task -> onStart(entry, start, task));
            case EntryMessage.StopTasks stop -> onStop(entry, stop);
            case EntryMessage.Seal seal -> onSeal(entry, seal);
            case EntryMessage.Release release -> onRelease(release);
            case EntryMessage.RenewLease renew -> onRenew(entry, renew);
            case EntryMessage.Inquiry inquiry -> onInquiry(entry, inquiry);
            case EntryMessage.TargetConfiguration configuration ->
                    onConfiguration(entry, configuration);
            case EntryMessage.Welcome welcome -> mEntries.add(welcome.entry());
        }
    }

    private void onSeal(NodeId entry, EntryMessage.Seal seal) {
        SealedPartition partition = partition(seal.partition());
        if (partition.seal(seal.epoch(), entry)) {
            count(SidecarCounter.SEALS);
        }
        send(
                entry,
                new Sealed(
                        seal.partition(),
                        partition.mEpoch,
                        partition.mNewestIdMillis,
                        partition.mNewestRenewal));
    }

    private void onRelease(EntryMessage.Release release) {
        SealedPartition partition = partition(release.partition());
        partition.mReleased |= release.epoch() == partition.mEpoch;
    }

    private void onRenew(NodeId entry, EntryMessage.RenewLease renew) {
        SealedPartition partition = partition(renew.partition());
        if (renew.epoch() == partition.mEpoch) {
            partition.mNewestRenewal = Math.max(partition.mNewestRenewal, renew.sentAt());
        }
        send(entry, new LeaseRenewed(renew.partition(), partition.mEpoch, renew.sentAt()));
    }

    private void onInquiry(NodeId entry, EntryMessage.Inquiry inquiry) {
        List<TaskResult> known =
                inquiry.submissions().stream().flatMap(id -> mStarted.of(id).stream()).toList();
        send(entry, new InquiryAnswer(inquiry.partition(), inquiry.number(), known));
    }

    private void onConfiguration(NodeId entry, EntryMessage.TargetConfiguration configuration) {
        if (configuration.revision() > mRevision) {
            mRevision = configuration.revision();
            mDrained = configuration.drained();
            mSlotLimit = configuration.slots();
            count(SidecarCounter.REVISIONS_APPLIED);
        }
        send(entry, new ConfigurationApplied(mRevision));
    }

    private void onStart(NodeId entry, EntryMessage.StartTasks start, StartTask task) {
        SealedPartition partition = partition(start.partition());
        if (start.epoch() != partition.mEpoch) {
            refuse(entry, start.partition(), task, TaskResult.Refusal.SEALED);
            return;
        }
        Optional<TaskResult> known = mStarted.find(task.task());
        if (known.isPresent()) {
            count(SidecarCounter.DUPLICATE_STARTS);
            add(start.partition(), known.get());
            return;
        }
        Optional<TaskResult.Refusal> refusal = refusal(task);
        if (refusal.isPresent()) {
            refuse(entry, start.partition(), task, refusal.get());
            return;
        }
        run(start.partition(), task);
    }

    private Optional<TaskResult.Refusal> refusal(StartTask task) {
        long createdAt = task.task().id().unixMillis();
        if (!serving() || mDrained || mRevision == 0) {
            return Optional.of(TaskResult.Refusal.LEAVING);
        }
        if (task.remainingMillis() <= 0
                || createdAt < mNow - Timing.ID_LIFETIME_MILLIS - Timing.MAX_CLOCK_SKEW_MILLIS) {
            return Optional.of(TaskResult.Refusal.EXPIRED);
        }
        if (mRunning.size() >= slots()) {
            return Optional.of(TaskResult.Refusal.NO_SLOT);
        }
        if (!fits(task.demand())) {
            return Optional.of(TaskResult.Refusal.NO_ROOM);
        }
        return Optional.empty();
    }

    private int slots() {
        int announced = mTarget.map(Announcement::slots).orElse(0);
        int connections = mTarget.map(Announcement::connections).orElse(0);
        int most = Math.min(announced, connections);
        return mSlotLimit > 0 ? Math.min(mSlotLimit, most) : most;
    }

    private boolean fits(Demand demand) {
        Announcement target = mTarget.orElseThrow();
        if (demand.equals(Demand.NONE)) {
            return true;
        }
        if (mRunning.isEmpty()) {
            return demand.fitsIn(target.capacity());
        }
        return mDemand.max(target.used()).plus(demand).fitsIn(target.capacity());
    }

    private void run(int partition, StartTask task) {
        count(SidecarCounter.TASKS_STARTED);
        partition(partition).started(task.task().id().unixMillis());
        mRunning.put(task.task(), new Running(task, partition));
        mDemand = mDemand.plus(task.demand());
        mStarted.put(
                new TaskResult(
                        task.task(), TaskResult.State.RUNNING, "", TaskResult.Refusal.NONE, 0));
        mActions.add(
                new SidecarAction.RunTask(
                        task, mTarget.orElseThrow().address(), mNow + task.remainingMillis()));
    }

    private void onStop(NodeId entry, EntryMessage.StopTasks stop) {
        if (stop.epoch() != partition(stop.partition()).mEpoch) {
            return;
        }
        for (TaskKey task : stop.tasks()) {
            if (mRunning.containsKey(task)) {
                mActions.add(new SidecarAction.StopTask(task, mTarget.orElseThrow().address()));
            } else if (mStarted.find(task).isEmpty()) {
                TaskResult stopped = TaskResult.refused(task, TaskResult.Refusal.STOPPED);
                mStarted.put(stopped);
                add(stop.partition(), stopped);
            }
        }
    }

    private void onTargetAnswered(TargetAnswered answered) {
        Running running = mRunning.remove(answered.task());
        if (running == null) {
            return;
        }
        mDemand = mRunning.isEmpty() ? Demand.NONE : mDemand.minus(running.task().demand());
        TaskResult result =
                switch (answered.outcome()) {
                    case COMPLETED -> ended(answered, TaskResult.State.COMPLETED);
                    case FAILED -> ended(answered, TaskResult.State.FAILED);
                    case REFUSED ->
                            TaskResult.refused(
                                    answered.task(), TaskResult.Refusal.TARGET_UNREACHABLE);
                };
        if (answered.outcome() == TargetAnswered.Outcome.REFUSED) {
            mStarted.remove(answered.task());
        } else {
            mStarted.put(result);
        }
        add(running.partition(), result);
    }

    private TaskResult ended(TargetAnswered answered, TaskResult.State state) {
        count(
                state == TaskResult.State.COMPLETED
                        ? SidecarCounter.TASKS_COMPLETED
                        : SidecarCounter.TASKS_FAILED);
        return new TaskResult(
                answered.task(),
                state,
                answered.body(),
                TaskResult.Refusal.NONE,
                answered.runMicros());
    }

    private void refuse(NodeId entry, int partition, StartTask task, TaskResult.Refusal refusal) {
        count(SidecarCounter.valueOf("REFUSED_" + refusal.name()));
        TaskResult result = TaskResult.refused(task.task(), refusal);
        send(entry, new TaskResults(partition, List.of(result)));
    }

    private void add(int partition, TaskResult result) {
        mUnsent.computeIfAbsent(partition, key -> new ArrayList<>()).add(result);
    }

    /** Results go to whoever owns the partition now, not to whoever asked for the start. */
    private void sendResults(int partition, List<TaskResult> results) {
        NodeId owner = partition(partition).mOwner;
        if (owner != null) {
            send(owner, new TaskResults(partition, results));
        }
    }

    private void send(NodeId entry, SidecarMessage message) {
        if (mEntries.contains(entry)) {
            mActions.add(new SidecarAction.SendToEntry(entry, message));
        }
    }

    private SealedPartition partition(int index) {
        return mPartitions.computeIfAbsent(index, key -> new SealedPartition());
    }

    private void count(SidecarCounter counter) {
        mCounts[counter.ordinal()]++;
    }
}
