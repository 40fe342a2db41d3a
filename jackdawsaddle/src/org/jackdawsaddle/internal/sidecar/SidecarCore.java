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
 * The state machine of a sidecar, without threads, sockets or clocks. As the only process that
 * starts tasks on its target, it enforces slot and resource limits, suppresses duplicate starts,
 * and refuses starts from entries that no longer own the partition. Not thread-safe.
 */
public final class SidecarCore {
    private static final long ANNOUNCEMENT_TIMEOUT_MILLIS = 5_000;

    private record RunningTask(StartTask start, int partition) {}

    private final NodeId mSelf;
    private final String mDataCentre;
    private final long mStartedAt;
    private final StartedTasks mStartedTasks = new StartedTasks();
    private final Map<Integer, PartitionOwnership> mPartitions = new HashMap<>();
    private final Map<TaskKey, RunningTask> mRunning = new LinkedHashMap<>();
    private final Set<NodeId> mConnectedEntries = new LinkedHashSet<>();
    private final Map<Integer, List<TaskResult>> mUnsentResults = new LinkedHashMap<>();
    private final List<SidecarAction> mActions = new ArrayList<>();
    private final long[] mCounters = new long[SidecarCounter.values().length];
    private Optional<Announcement> mAnnouncement = Optional.empty();
    private long mAnnouncementExpiry;
    private Demand mReserved = Demand.NONE;
    private long mRevision;
    private boolean mDrained;
    private int mSlotLimit;
    private boolean mLeaving;
    private long mNow;

    /**
     * Creates the state machine of one sidecar.
     *
     * @param startedAt the time in milliseconds since the epoch before which it started no task
     */
    public SidecarCore(NodeId self, String dataCentre, long startedAt) {
        mSelf = self;
        mDataCentre = dataCentre;
        mStartedAt = startedAt;
    }

    /**
     * Handles one event; the resulting actions are available from {@link #actions}.
     *
     * @param now the current time in milliseconds since the epoch; must not decrease between calls
     */
    public void handle(SidecarEvent event, long now) {
        mNow = now;
        switch (event) {
            case SidecarEvent.TargetAnnounced announced ->
                    onTargetAnnounced(announced.announcement());
            case SidecarEvent.TargetWithdrawn withdrawn -> onTargetWithdrawn();
            case TargetAnswered answered -> onTargetAnswered(answered);
            case SidecarEvent.EntryConnected connected -> onEntryConnected(connected.entry());
            case SidecarEvent.EntryLost lost -> mConnectedEntries.remove(lost.entry());
            case SidecarEvent.EntrySent sent -> onEntrySent(sent.entry(), sent.message());
            case SidecarEvent.Tick tick -> onTick();
            case SidecarEvent.LeaveRequested leave -> onLeaveRequested();
        }
    }

    /** Returns and clears the actions caused by the events since the previous call. */
    public List<SidecarAction> actions() {
        mUnsentResults.forEach(this::sendResults);
        mUnsentResults.clear();
        List<SidecarAction> actions = List.copyOf(mActions);
        mActions.clear();
        return actions;
    }

    /** Returns the value of a counter. */
    public long counterValue(SidecarCounter counter) {
        return mCounters[counter.ordinal()];
    }

    /** Returns whether no task runs, and every partition that was sealed has been released. */
    public boolean idle() {
        return mRunning.isEmpty()
                && mPartitions.values().stream()
                        .allMatch(partition -> partition.mReleased || partition.mEpoch == 0);
    }

    /** Returns whether the target, drained or not, is announced and this process is not leaving. */
    public boolean serving() {
        return mAnnouncement.isPresent() && mNow < mAnnouncementExpiry && !mLeaving;
    }

    /** Returns the configuration revision in force, or 0 if there is none yet. */
    public long revision() {
        return mRevision;
    }

    /** Returns the number of tasks on record: running, ended, or stopped before their start. */
    public int recordedTaskCount() {
        return mStartedTasks.size();
    }

    private void onTargetAnnounced(Announcement announcement) {
        boolean changed = !serving() || !equalsExceptUsageAndConnections(announcement);
        mAnnouncement = Optional.of(announcement);
        mAnnouncementExpiry = mNow + ANNOUNCEMENT_TIMEOUT_MILLIS;
        if (changed) {
            sendHelloToAll();
        }
    }

    private boolean equalsExceptUsageAndConnections(Announcement other) {
        return mAnnouncement
                .filter(current ->
                        current.target().equals(other.target())
                                && current.service().equals(other.service())
                                && current.address().equals(other.address())
                                && current.slots() == other.slots()
                                && current.capacity().equals(other.capacity()))
                .isPresent();
    }

    private void onTargetWithdrawn() {
        mAnnouncementExpiry = 0;
        sendHelloToAll();
    }

    private void onLeaveRequested() {
        mLeaving = true;
        sendHelloToAll();
    }

    private void onTick() {
        if (mAnnouncement.isPresent() && mAnnouncementExpiry > 0 && mNow >= mAnnouncementExpiry) {
            onTargetWithdrawn();
        }
        mStartedTasks.removeExpired(mNow);
    }

    private void onEntryConnected(NodeId entry) {
        mConnectedEntries.add(entry);
        mAnnouncement.ifPresent(announcement -> send(entry, hello(announcement)));
    }

    private void sendHelloToAll() {
        mAnnouncement.ifPresent(announcement ->
                mConnectedEntries.forEach(entry -> send(entry, hello(announcement))));
    }

    private SidecarHello hello(Announcement announcement) {
        return new SidecarHello(
                mSelf,
                announcement.target(),
                announcement.service(),
                mDataCentre,
                announcement.slots(),
                announcement.connections(),
                announcement.capacity(),
                serving(),
                mStartedAt,
                mRevision,
                mLeaving);
    }

    private void onEntrySent(NodeId entry, EntryMessage message) {
        switch (message) {
            case EntryMessage.StartTasks start ->
                    start.tasks().forEach(task -> onStartTask(entry, start, task));
            case EntryMessage.StopTasks stop -> onStopTasks(entry, stop);
            case EntryMessage.Seal seal -> onSeal(entry, seal);
            case EntryMessage.Release release -> onRelease(release);
            case EntryMessage.RenewLease renew -> onRenewLease(entry, renew);
            case EntryMessage.Inquiry inquiry -> onInquiry(entry, inquiry);
            case EntryMessage.TargetConfiguration configuration ->
                    onConfiguration(entry, configuration);
            case EntryMessage.Welcome welcome -> mConnectedEntries.add(welcome.entry());
        }
    }

    private void onSeal(NodeId entry, EntryMessage.Seal seal) {
        PartitionOwnership partition = partition(seal.partition());
        if (partition.seal(seal.epoch(), entry)) {
            increment(SidecarCounter.SEALS);
        }
        send(
                entry,
                new Sealed(
                        seal.partition(),
                        partition.mEpoch,
                        partition.mNewestIdMillis,
                        partition.mNewestRenewalMillis));
    }

    private void onRelease(EntryMessage.Release release) {
        PartitionOwnership partition = partition(release.partition());
        partition.mReleased |= release.epoch() == partition.mEpoch;
    }

    private void onRenewLease(NodeId entry, EntryMessage.RenewLease renew) {
        PartitionOwnership partition = partition(renew.partition());
        if (renew.epoch() == partition.mEpoch) {
            partition.mNewestRenewalMillis =
                    Math.max(partition.mNewestRenewalMillis, renew.sentAt());
        }
        send(entry, new LeaseRenewed(renew.partition(), partition.mEpoch, renew.sentAt()));
    }

    private void onInquiry(NodeId entry, EntryMessage.Inquiry inquiry) {
        List<TaskResult> known =
                inquiry.submissions().stream()
                        .flatMap(id -> mStartedTasks.findBySubmission(id).stream())
                        .toList();
        send(entry, new InquiryAnswer(inquiry.partition(), inquiry.number(), known));
    }

    private void onConfiguration(NodeId entry, EntryMessage.TargetConfiguration configuration) {
        if (configuration.revision() > mRevision) {
            mRevision = configuration.revision();
            mDrained = configuration.drained();
            mSlotLimit = configuration.slots();
            increment(SidecarCounter.REVISIONS_APPLIED);
        }
        send(entry, new ConfigurationApplied(mRevision));
    }

    private void onStartTask(NodeId entry, EntryMessage.StartTasks message, StartTask start) {
        PartitionOwnership partition = partition(message.partition());
        if (message.epoch() != partition.mEpoch) {
            refuse(entry, message.partition(), start, TaskResult.Refusal.SEALED);
            return;
        }
        Optional<TaskResult> known = mStartedTasks.find(start.task());
        if (known.isPresent()) {
            increment(SidecarCounter.DUPLICATE_STARTS);
            queueResult(message.partition(), known.get());
            return;
        }
        Optional<TaskResult.Refusal> refusal = refusalReason(start);
        if (refusal.isPresent()) {
            refuse(entry, message.partition(), start, refusal.get());
            return;
        }
        startTask(message.partition(), start);
    }

    private Optional<TaskResult.Refusal> refusalReason(StartTask start) {
        long createdAt = start.task().id().unixMillis();
        if (!serving() || mDrained || mRevision == 0) {
            return Optional.of(TaskResult.Refusal.LEAVING);
        }
        if (start.remainingMillis() <= 0
                || createdAt < mNow - Timing.ID_LIFETIME_MILLIS - Timing.MAX_CLOCK_SKEW_MILLIS) {
            return Optional.of(TaskResult.Refusal.EXPIRED);
        }
        if (mRunning.size() >= usableSlots()) {
            return Optional.of(TaskResult.Refusal.NO_SLOT);
        }
        if (!fits(start.demand())) {
            return Optional.of(TaskResult.Refusal.NO_ROOM);
        }
        return Optional.empty();
    }

    private int usableSlots() {
        int announced = mAnnouncement.map(Announcement::slots).orElse(0);
        int connections = mAnnouncement.map(Announcement::connections).orElse(0);
        int limit = Math.min(announced, connections);
        return mSlotLimit > 0 ? Math.min(mSlotLimit, limit) : limit;
    }

    private boolean fits(Demand demand) {
        Announcement announcement = mAnnouncement.orElseThrow();
        if (demand.equals(Demand.NONE)) {
            return true;
        }
        if (mRunning.isEmpty()) {
            return demand.fitsIn(announcement.capacity());
        }
        return mReserved.max(announcement.used()).plus(demand).fitsIn(announcement.capacity());
    }

    private void startTask(int partition, StartTask start) {
        increment(SidecarCounter.TASKS_STARTED);
        partition(partition).recordStart(start.task().id().unixMillis());
        mRunning.put(start.task(), new RunningTask(start, partition));
        mReserved = mReserved.plus(start.demand());
        mStartedTasks.put(
                new TaskResult(
                        start.task(), TaskResult.State.RUNNING, "", TaskResult.Refusal.NONE, 0));
        mActions.add(
                new SidecarAction.RunTask(
                        start,
                        mAnnouncement.orElseThrow().address(),
                        mNow + start.remainingMillis()));
    }

    private void onStopTasks(NodeId entry, EntryMessage.StopTasks stop) {
        if (stop.epoch() != partition(stop.partition()).mEpoch) {
            return;
        }
        for (TaskKey task : stop.tasks()) {
            if (mRunning.containsKey(task)) {
                mActions.add(
                        new SidecarAction.StopTask(task, mAnnouncement.orElseThrow().address()));
            } else if (mStartedTasks.find(task).isEmpty()) {
                TaskResult stopped = TaskResult.refused(task, TaskResult.Refusal.STOPPED);
                mStartedTasks.put(stopped);
                queueResult(stop.partition(), stopped);
            }
        }
    }

    private void onTargetAnswered(TargetAnswered answered) {
        RunningTask running = mRunning.remove(answered.task());
        if (running == null) {
            return;
        }
        mReserved = mRunning.isEmpty() ? Demand.NONE : mReserved.minus(running.start().demand());
        TaskResult result =
                switch (answered.outcome()) {
                    case COMPLETED -> endedResult(answered, TaskResult.State.COMPLETED);
                    case FAILED -> endedResult(answered, TaskResult.State.FAILED);
                    case REFUSED ->
                            TaskResult.refused(
                                    answered.task(), TaskResult.Refusal.TARGET_UNREACHABLE);
                };
        if (answered.outcome() == TargetAnswered.Outcome.REFUSED) {
            mStartedTasks.remove(answered.task());
        } else {
            mStartedTasks.put(result);
        }
        queueResult(running.partition(), result);
    }

    private TaskResult endedResult(TargetAnswered answered, TaskResult.State state) {
        increment(
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

    private void refuse(NodeId entry, int partition, StartTask start, TaskResult.Refusal refusal) {
        increment(SidecarCounter.valueOf("REFUSED_" + refusal.name()));
        TaskResult result = TaskResult.refused(start.task(), refusal);
        send(entry, new TaskResults(partition, List.of(result)));
    }

    private void queueResult(int partition, TaskResult result) {
        mUnsentResults.computeIfAbsent(partition, key -> new ArrayList<>()).add(result);
    }

    /** Sends results to the current owner of the partition, whoever requested the start. */
    private void sendResults(int partition, List<TaskResult> results) {
        NodeId owner = partition(partition).mOwner;
        if (owner != null) {
            send(owner, new TaskResults(partition, results));
        }
    }

    private void send(NodeId entry, SidecarMessage message) {
        if (mConnectedEntries.contains(entry)) {
            mActions.add(new SidecarAction.SendToEntry(entry, message));
        }
    }

    private PartitionOwnership partition(int index) {
        return mPartitions.computeIfAbsent(index, key -> new PartitionOwnership());
    }

    private void increment(SidecarCounter counter) {
        mCounters[counter.ordinal()]++;
    }
}
