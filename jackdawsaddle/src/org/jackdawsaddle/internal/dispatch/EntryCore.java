package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.ServiceObject;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.message.PeerMessage;
import org.jackdawsaddle.internal.message.SidecarMessage;
import org.jackdawsaddle.internal.target.SpeedModel;
import org.jackdawsaddle.job.SubmissionId;

/**
 * The decision logic of an entry, without threads, sockets or clocks: it takes events together with
 * the current time and returns actions.
 *
 * <p>Not thread-safe: one thread makes all calls.
 */
public final class EntryCore {
    /** How long after its disconnection a sidecar without tasks of active jobs is forgotten. */
    private static final long LOST_SIDECAR_RETENTION_MILLIS = 60_000;

    private final EntryState mState;
    private final MembershipController mMembership;
    private final ClaimController mClaims;
    private final OwnershipController mOwnership;
    private final RecoveryController mRecovery;
    private final DispatchController mDispatch;
    private final ResultController mResults;
    private final RoutingController mRouting;
    private final ConfigurationController mConfiguration;
    private final PartitionHandover mHandover;
    private final StoreController mStore;
    private final WelcomeSender mWelcomeSender;

    /**
     * Creates the decision logic of one entry.
     *
     * @param self the record of this process
     * @param layout the layout to write if the store has none
     * @param order the order in which queued jobs are served
     * @param random the source of randomness for submission ids; decisions do not depend on it
     */
    public EntryCore(EntryRecord self, Layout layout, QueueOrder order, RandomGenerator random) {
        mState = new EntryState(self, random);
        SpeedModel speeds = new SpeedModel();
        AnswerSender answerSender = new AnswerSender(mState);
        JobEnder ender = new JobEnder(mState, answerSender);
        mMembership = new MembershipController(mState);
        mClaims = new ClaimController(mState, mMembership);
        mOwnership = new OwnershipController(mState);
        mRecovery = new RecoveryController(mState, ender);
        Admission admission = new Admission(mState, speeds);
        mDispatch =
                new DispatchController(mState, answerSender, admission, ender, mRecovery, order);
        mResults = new ResultController(mState, speeds, new RetryBudget(), ender);
        mRouting = new RoutingController(mState, mDispatch);
        mConfiguration = new ConfigurationController(mState);
        mHandover = new PartitionHandover(mState, mClaims, mRecovery, mRouting);
        mWelcomeSender = new WelcomeSender(mState);
        mStore =
                new StoreController(
                        mState,
                        mMembership,
                        mClaims,
                        mOwnership,
                        mConfiguration,
                        mHandover,
                        mWelcomeSender,
                        layout);
    }

    /**
     * Handles one event; {@link #actions} returns the resulting actions.
     *
     * @param now the current time in milliseconds since the epoch; must never decrease
     * @throws IllegalArgumentException if a stored value or a pushed configuration is not valid
     *     JSON, or if the event is a peer's status answer
     */
    public void handle(EntryEvent event, long now) {
        mState.mNow = now;
        switch (event) {
            case EntryEvent.CallerSubmitted submitted ->
                    mRouting.submit(submitted.token(), submitted.request());
            case EntryEvent.CallerQueried queried ->
                    mRouting.query(queried.token(), queried.id(), queried.service());
            case EntryEvent.CallerCancelled cancelled ->
                    mRouting.cancel(cancelled.id(), cancelled.service());
            case EntryEvent.SidecarAnnounced announced -> onAnnounced(announced.hello());
            case EntryEvent.SidecarLost lost -> onSidecarLost(lost.sidecar());
            case EntryEvent.SidecarSent sent -> onSidecarSent(sent.sidecar(), sent.message());
            case EntryEvent.PeerConnected connected ->
                    mMembership.onPeerConnected(connected.peer());
            case EntryEvent.PeerLost lost -> {
                mMembership.onPeerLost(lost.peer());
                mRouting.onPeerLost(lost.peer());
            }
            case EntryEvent.PeerSent sent -> onPeerSent(sent.peer(), sent.message());
            case EntryEvent.StoreRead read -> read.values().forEach(mStore::onValue);
            case EntryEvent.StoreWritten written ->
                    mStore.onWritten(written.key(), written.version());
            case EntryEvent.StoreFailed failed -> mStore.onFailed(failed.key());
            case EntryEvent.Tick tick -> onTick();
            case EntryEvent.LeaveRequested leave -> onLeave();
        }
    }

    /** Returns and removes the actions that have accumulated since the last call. */
    public List<EntryAction> actions() {
        return mState.mOutbox.drain();
    }

    /** Returns the value of a counter. */
    public long counterValue(EntryCounter counter) {
        return mState.counterValue(counter);
    }

    /**
     * Returns whether this entry is ready for callers: it has a configuration and a layout and is
     * not shutting down.
     */
    public boolean ready() {
        return mState.mHead.revision() > 0 && mState.mPartitionMap.isPresent() && !mState.mLeaving;
    }

    /**
     * Returns whether this entry can shut down without interrupting a job: it owns no partition and
     * has answered all forwarded jobs.
     */
    public boolean idle() {
        return mState.mOwnedPartitions.isEmpty() && mRouting.openRoutes() == 0;
    }

    /** Returns the delay until the next tick, in milliseconds: longer while nothing is pending. */
    public long tickMillis() {
        boolean idle =
                mState.mPartitionMap.isPresent()
                        && mRouting.openRoutes() == 0
                        && mClaims.idle()
                        && mState.ownedPartitions().stream().allMatch(this::partitionIdle);
        return idle ? Timing.IDLE_TICK_MILLIS : Timing.TICK_MILLIS;
    }

    private boolean partitionIdle(OwnedPartition partition) {
        return partition.active()
                && partition.pendingRecord().isEmpty()
                && partition.mDeferredRefusals.isEmpty()
                && partition.mJobs.idle()
                && !partition.mRosterIncomplete;
    }

    /** Returns the configuration in force as JSON. */
    public String configuration() {
        return Json.write(mState.mHead);
    }

    /** Returns a status snapshot of this entry for operators. */
    public EntryStatus status() {
        return EntryStatus.of(mState);
    }

    /**
     * Creates a submission id. If this entry owns active partitions of the job kind's service, the
     * id maps to one of them; otherwise to a random partition.
     *
     * @param kind the job kind, or empty if the caller named none
     * @param now the current time in milliseconds since the epoch
     */
    public SubmissionId issueId(Optional<String> kind, long now) {
        SubmissionId id = SubmissionId.create(now, mState.mRandom);
        Optional<ServiceObject> service =
                kind.flatMap(mState.mHead.set()::jobKind)
                        .flatMap(object -> mState.mHead.set().service(object.service()));
        if (service.isEmpty() || mState.mPartitionMap.isEmpty()) {
            return id;
        }
        PartitionMap map = mState.mPartitionMap.get();
        return mState.ownedPartitions().stream()
                .filter(OwnedPartition::active)
                .filter(partition -> map.serves(service.get(), partition.mIndex))
                .findFirst()
                .map(partition -> map.bind(service.get(), id, partition.mIndex))
                .orElse(id);
    }

    private void onTick() {
        mStore.onTick();
        mMembership.onTick();
        mClaims.onTick();
        mClaims.retryReads();
        mClaims.partitionToRelease().ifPresent(mHandover::release);
        for (OwnedPartition partition : mState.ownedPartitions()) {
            if (mOwnership.onTick(partition)) {
                mConfiguration.onActivated(partition);
                mDispatch.processDeferredSubmissions(partition);
            }
            if (partition.active()) {
                mDispatch.onTick(partition);
            }
        }
        mRecovery.onTick(mDispatch::admit);
        forgetLostSidecars();
        mRouting.onTick();
        mState.mOutbox.flushStops();
    }

    private void forgetLostSidecars() {
        long oldest = mState.mNow - LOST_SIDECAR_RETENTION_MILLIS;
        List<SidecarView> gone =
                mState.mSidecars.values().stream()
                        .filter(view -> !view.mConnected && view.mDisconnectedAt < oldest)
                        .filter(SidecarView::dropEndedTasks)
                        .toList();
        gone.forEach(mState::drop);
    }

    private void onLeave() {
        mState.mLeaving = true;
        mMembership.leave();
        mState.ownedPartitions().forEach(mHandover::release);
    }

    private void onAnnounced(SidecarMessage.SidecarHello hello) {
        SidecarView view =
                mState.mSidecars.computeIfAbsent(
                        hello.sidecar(), node -> new SidecarView(hello, -1));
        boolean connecting = !view.mConnected;
        view.mHello = hello;
        view.mConnected = true;
        mState.markConnected(view.node());
        view.mRevision = hello.revision();
        mConfiguration.onAnnounced(view);
        Optional<OwnedPartition> partition = ownedPartitionOf(view);
        dropOtherIncarnations(view);
        if (connecting) {
            view.mSealedEpoch = 0;
            mWelcomeSender.send(view);
            partition.ifPresent(owned -> mRecovery.inquireRunning(owned, view));
        }
        partition.ifPresent(owned -> mOwnership.onAnnounced(owned, view));
        partition.ifPresent(mDispatch::dispatch);
    }

    /**
     * Drops the other incarnations of the sidecar, whose processes must have ended, and retries or
     * fails their tasks.
     */
    private void dropOtherIncarnations(SidecarView view) {
        List<SidecarView> others =
                mState.mSidecars.values().stream()
                        .filter(other -> view.node().isOtherIncarnationOf(other.node()))
                        .toList();
        for (SidecarView incarnation : others) {
            ownedPartitionOf(incarnation)
                    .ifPresent(owned -> mResults.onSidecarEnded(owned, incarnation));
            mState.drop(incarnation);
            mResults.forget(incarnation.node());
        }
    }

    private void onSidecarLost(NodeId node) {
        Optional<SidecarView> lost = mState.sidecar(node);
        if (lost.isEmpty()) {
            return;
        }
        SidecarView view = lost.get();
        view.mConnected = false;
        mState.markDisconnected(node);
        view.mDisconnectedAt = mState.mNow;
        ownedPartitionOf(view)
                .ifPresent(owned -> mRecovery.onSidecarLost(owned, node, mDispatch::admit));
    }

    private void onSidecarSent(NodeId node, SidecarMessage message) {
        Optional<SidecarView> sender = mState.sidecar(node);
        if (sender.isEmpty() || !sender.get().mConnected) {
            return;
        }
        SidecarView sidecar = sender.get();
        if (message instanceof SidecarMessage.ConfigurationApplied applied) {
            sidecar.mRevision = applied.revision();
        }
        ownedPartitionOf(sidecar)
                .ifPresent(partition -> onOwnSidecarSent(partition, sidecar, message));
    }

    private void onOwnSidecarSent(
            OwnedPartition partition, SidecarView sidecar, SidecarMessage message) {
        boolean stillOwner =
                switch (message) {
                    case SidecarMessage.Sealed sealed ->
                            mOwnership.onSealed(partition, sidecar, sealed);
                    case SidecarMessage.LeaseRenewed renewed ->
                            mOwnership.onRenewed(partition, sidecar, renewed);
                    case SidecarMessage.TaskResults results -> {
                        mResults.onResults(partition, sidecar, results.results());
                        yield true;
                    }
                    case SidecarMessage.InquiryAnswer answer -> {
                        mResults.onResults(
                                partition,
                                sidecar,
                                RecoveryController.resultsOfRunning(sidecar, answer));
                        mRecovery.onAnswer(partition, sidecar, answer, mDispatch::admit);
                        yield true;
                    }
                    case SidecarMessage.SidecarHello hello -> true;
                    case SidecarMessage.ConfigurationApplied applied -> true;
                };
        if (!stillOwner) {
            mHandover.endOwnership(partition);
            return;
        }
        dispatchIfActive(partition);
    }

    private void dispatchIfActive(OwnedPartition partition) {
        if (partition.active()) {
            mDispatch.dispatch(partition);
        }
    }

    private void onPeerSent(NodeId peer, PeerMessage message) {
        mMembership.onHeard(peer);
        switch (message) {
            case PeerMessage.PeerHello hello ->
                    mConfiguration.onPeerRevision(peer, hello.revision());
            case PeerMessage.SubmitJob submit -> mRouting.onSubmitted(peer, submit);
            case PeerMessage.JobAnswered answered ->
                    mRouting.onAnswered(peer, answered.token(), answered.answer());
            case PeerMessage.JobMoved moved -> mRouting.onMoved(peer, moved.token());
            case PeerMessage.QueryJob query ->
                    mState.mOutbox.sendToPeer(
                            peer,
                            new PeerMessage.JobAnswered(query.token(), mRouting.onQueried(query)));
            case PeerMessage.CancelJob cancel -> mRouting.cancel(cancel.id(), cancel.service());
            case PeerMessage.Heartbeat heartbeat ->
                    mConfiguration.onPeerRevision(peer, heartbeat.revision());
            case PeerMessage.ConfigurationPush push -> mConfiguration.apply(push.head());
            case PeerMessage.StatusQuery query ->
                    mState.mOutbox.sendToPeer(
                            peer,
                            new PeerMessage.StatusAnswer(query.token(), Json.write(status())));
            case PeerMessage.StatusAnswer answer ->
                    throw new IllegalArgumentException(
                            "A status answer is handled by the process, not here: " + answer);
        }
    }

    /** Returns the partition of the sidecar's target if this entry owns it. */
    private Optional<OwnedPartition> ownedPartitionOf(SidecarView sidecar) {
        return Optional.ofNullable(mState.mOwnedPartitions.get(sidecar.mPartition));
    }
}
