package org.jackdawsaddle.internal.pool;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.target.SpeedModel;
import org.jackdawsaddle.pool.Evacuation;
import org.jackdawsaddle.pool.PoolConfiguration;

/**
 * The state machine of a pool entry. It uses no threads, sockets or clocks: it takes events with
 * the current time and returns actions.
 *
 * <p>It handles the jobs of the callers that are connected to it, and shares the targets with the
 * other entries: sidecars report their free capacity to all entries and refuse tasks that exceed
 * it.
 */
public final class PoolEntryCore {
    private final PoolEntryState mState;
    private final JobController mJobs;
    private final TakenJobs mTaken;
    private final SidecarController mSidecars;
    private final PeerController mPeers;
    private final EvacuationController mEvacuations;
    private final UnsettledJobsController mUnsettledJobs;
    private final CancellationController mCancellations;
    private final WatchController mWatches;

    /**
     * Creates the state of an entry without configuration, sidecars and peers.
     *
     * @param name the name of the entry, unique among the entries
     * @param leaseMillis the longest lease that targets grant on their runs, in milliseconds
     * @param resendMillis how long a caller without an answer waits before it sends its job again,
     *     in milliseconds
     * @param processorCores the processor cores that the entry may use; 0 if unknown
     */
    public PoolEntryCore(String name, long leaseMillis, long resendMillis, double processorCores) {
        mState = new PoolEntryState();
        SpeedModel speeds = new SpeedModel();
        Placement placement = new Placement(speeds, mState.mQuarantine);
        mPeers = new PeerController(mState);
        mJobs =
                new JobController(
                        mState,
                        placement,
                        new PoolAdmission(mState, placement),
                        mPeers,
                        processorCores,
                        resendMillis);
        mTaken = new TakenJobs(mState);
        mSidecars = new SidecarController(mState, mJobs, speeds, leaseMillis);
        mEvacuations = new EvacuationController(mState, mPeers);
        mUnsettledJobs = new UnsettledJobsController(mState, mPeers);
        mCancellations = new CancellationController(mState, mPeers);
        mWatches = new WatchController(mState, placement, name);
    }

    /**
     * Processes an event.
     *
     * @param now the current time in milliseconds since the epoch; must never go back
     */
    public void handle(PoolEntryEvent event, long now) {
        mState.advanceTo(now);
        switch (event) {
            case PoolEntryEvent.JobSubmitted submitted ->
                    mJobs.submit(submitted.token(), submitted.job());
            case PoolEntryEvent.CallerLost lost -> mJobs.onCallerLost(lost.token());
            case PoolEntryEvent.JobCancelled cancelled -> cancel(cancelled.id());
            case PoolEntryEvent.ConfigurationRead read ->
                    mPeers.onConfiguration(read.configuration(), "the store");
            case PoolEntryEvent.EvacuationRead read -> mEvacuations.onRead(read.evacuation());
            case PoolEntryEvent.SidecarAnnounced announced -> {
                mSidecars.onAnnounced(announced.hello());
                mEvacuations.onAnnounced(announced.hello());
            }
            case PoolEntryEvent.SidecarLost lost -> mSidecars.onLost(lost.sidecar());
            case PoolEntryEvent.SidecarSent sent -> onSidecarSent(sent.sidecar(), sent.message());
            case PoolEntryEvent.PeerConnected connected -> {
                mPeers.onConnected(connected.peer());
                mUnsettledJobs.onPeerConnected(connected.peer());
                mCancellations.onPeerConnected(connected.peer());
            }
            case PoolEntryEvent.PeerLost lost -> {
                mPeers.onLost(lost.peer());
                mJobs.handOvers().onPeerLost(lost.peer());
            }
            case PoolEntryEvent.PeerClosed closed -> abandonRequestsOf(closed.peer());
            case PoolEntryEvent.PeerAnswered answered -> {
                mPeers.onAnswered(answered.peer(), answered.message());
                onPeerAnswered(answered.peer(), answered.message());
                onPeerMessage(answered.peer(), answered.message());
            }
            case PoolEntryEvent.PeerSent sent -> {
                mTaken.onHeard(sent.peer());
                mPeers.onReceived(sent.peer(), sent.message());
                onPeerMessage(sent.peer(), sent.message());
            }
            case PoolEntryEvent.Tick tick -> {
                mSidecars.onTick();
                mPeers.onTick();
                mJobs.onTick();
                mUnsettledJobs.onTick();
                mTaken.takeSilentSenders().forEach(this::abandonRequestsOf);
                mState.mNextTickAt = mState.mNow + PoolTiming.IDLE_TICK_INTERVAL_MILLIS;
            }
            case PoolEntryEvent.LeaveRequested leave -> mState.mWorkDeadline = leave.workDeadline();
        }
    }

    /** Returns and clears the actions that events have caused since the last call. */
    public List<PoolEntryAction> actions() {
        mJobs.dispatchIfDue();
        mWatches.update();
        mPeers.pushConfigurationToSidecars();
        mState.flushStops();
        if (active()) {
            mState.mNextTickAt =
                    Math.min(mState.mNextTickAt, mState.mNow + PoolTiming.TICK_INTERVAL_MILLIS);
        }
        List<PoolEntryAction> actions = mState.mActions.stream().map(mTaken::redirect).toList();
        mState.mActions.clear();
        return actions;
    }

    /** Returns the value of a counter. */
    public long counterValue(PoolEntryCounter counter) {
        return mState.counterValue(counter);
    }

    /** Returns the histograms of waiting times and run times. */
    public TaskDurations durations() {
        return mState.mDurations;
    }

    /**
     * Returns the time since the last message from the connected sidecar that has sent nothing for
     * longest, in milliseconds; 0 without sidecars.
     */
    public long longestSilenceMillis() {
        return mState.mSidecars.values().stream()
                .filter(sidecar -> sidecar.mConnected)
                .mapToLong(sidecar -> sidecar.silentMillis(mState.mNow))
                .max()
                .orElse(0);
    }

    /**
     * Returns whether callers should send jobs to this entry: a configuration is in force, a
     * sidecar serves, and the process is not about to stop.
     */
    public boolean ready() {
        return mState.mConfiguration.version() > 0
                && !mState.leaving()
                && mState.mSidecars.values().stream().anyMatch(SidecarView::serving);
    }

    /** Returns whether no caller waits for an answer. */
    public boolean idle() {
        return mState.mJobs.isEmpty() && !mJobs.handOvers().active();
    }

    /** Returns when the next tick is due, in milliseconds since the epoch; 0 for at once. */
    public long nextTickAt() {
        return mState.mNextTickAt;
    }

    /** Returns whether the entry has jobs, watches sidecars or has placed runs. */
    private boolean active() {
        return !mState.mJobs.isEmpty()
                || mJobs.handOvers().active()
                || mWatches.watching()
                || mState.mSidecars.values().stream().anyMatch(SidecarView::active);
    }

    /** Returns the configuration in force. */
    public PoolConfiguration configuration() {
        return mState.mConfiguration;
    }

    /** Returns the evacuation in force. */
    public Evacuation evacuation() {
        return mState.mEvacuation.current();
    }

    /** Returns a heartbeat to another entry. */
    public PoolMessage.Ping peerHeartbeat() {
        return mState.peerHeartbeat();
    }

    /** Returns whether a job is admitted and not yet answered. */
    public boolean active(String job) {
        return mState.mJobs.containsKey(job);
    }

    /** Returns the number of jobs of a queue of which no task has been placed on a sidecar. */
    public long pendingJobs(String queue) {
        return mState.mJobs.values().stream()
                .filter(job -> job.mQueue.name().equals(queue))
                .filter(job -> !job.everPlaced())
                .count();
    }

    private void onSidecarSent(NodeId sidecar, PoolMessage message) {
        switch (message) {
            case PoolMessage.ConfigurationPush push ->
                    mPeers.onConfiguration(
                            Json.read(push.text(), PoolConfiguration.class), sidecar.toString());
            case PoolMessage.EvacuationPush push -> mEvacuations.onReceived(push, sidecar);
            default -> mSidecars.onReceived(sidecar, message);
        }
    }

    /** Cancels a job; asks the other entries to if it is not active here. */
    private void cancel(String id) {
        if (!mJobs.cancel(id)) {
            mCancellations.pass(id);
        }
    }

    private void onPeerMessage(NodeId peer, PoolMessage message) {
        switch (message) {
            case PoolMessage.Ping ping ->
                    mEvacuations.onPeerRevision(peer, ping.evacuationRevision());
            case PoolMessage.PeerHello hello ->
                    mEvacuations.onPeerRevision(peer, hello.evacuationRevision());
            case PoolMessage.EvacuationPush push -> mEvacuations.onReceived(push, peer);
            case PoolMessage.JobCancellation cancellation -> mJobs.cancel(cancellation.job());
            case PoolMessage.UnsettledJobs unsettled ->
                    mState.mPeerUnsettledJobs.onReceived(peer, unsettled.jobs(), mState.mNow);
            case PoolMessage.HandOver handOver -> onHandOver(peer, handOver);
            case PoolMessage.HandOverCancellation cancellation ->
                    mTaken.find(peer, cancellation.number()).ifPresent(mJobs::onCallerLost);
            case PoolMessage.HandOverAnswer answer -> mJobs.handOvers().onAnswer(answer);
            case PoolMessage.ConfigurationPush push -> {
                // PeerController has handled it.
            }
            default ->
                    throw new IllegalArgumentException(
                            "Unexpected message from an entry: " + message);
        }
    }

    /** Handles what another entry tells of itself on the connection that this one opened. */
    private void onPeerAnswered(NodeId peer, PoolMessage message) {
        if (message instanceof PoolMessage.Ping ping) {
            mJobs.handOvers().onLoad(peer, ping.load());
        }
    }

    /**
     * Serves the job of another entry, unless callers should not send jobs here either, or the
     * queue is not known here yet.
     */
    private void onHandOver(NodeId peer, PoolMessage.HandOver handOver) {
        if (ready() && mState.mConfiguration.queue(handOver.job().queue()).isPresent()) {
            long token = mTaken.add(peer, handOver.number());
            long deadline = mState.mNow + handOver.remainingMillis();
            mJobs.serve(token, handOver.job().withDeadline(deadline));
        } else {
            PoolMessage declined =
                    new PoolMessage.HandOverAnswer(handOver.number(), Optional.empty());
            mState.mActions.add(new PoolEntryAction.AnswerPeer(peer, declined));
        }
    }

    /**
     * Abandons the jobs of another entry, which has lost its callers or will take them for lost.
     */
    private void abandonRequestsOf(NodeId peer) {
        mTaken.requestsOf(peer).forEach(mJobs::onCallerLost);
    }
}
