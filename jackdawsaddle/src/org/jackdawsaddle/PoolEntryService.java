package org.jackdawsaddle;

import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.pool.PoolEntryAction;
import org.jackdawsaddle.internal.pool.PoolEntryCore;
import org.jackdawsaddle.internal.pool.PoolEntryCounter;
import org.jackdawsaddle.internal.pool.PoolEntryEvent;
import org.jackdawsaddle.internal.pool.connection.PoolAcceptor;
import org.jackdawsaddle.internal.pool.connection.PoolDialer;
import org.jackdawsaddle.internal.runtime.ControlLoop;
import org.jackdawsaddle.internal.runtime.LatencyHistogram;
import org.jackdawsaddle.internal.runtime.MetricsRegistry;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.internal.wire.MessageCounts;
import org.jackdawsaddle.internal.wire.WireControlLoop;
import org.jackdawsaddle.internal.wire.WireThreads;
import org.jackdawsaddle.pool.Evacuation;
import org.jackdawsaddle.pool.PoolAnswer;
import org.jackdawsaddle.pool.PoolConfiguration;
import org.jackdawsaddle.pool.PoolEntryConfig;
import org.jackdawsaddle.pool.PoolJob;

/**
 * An entry of a pool: accepts jobs from the embedding process and places their tasks on sidecars,
 * whose targets run them.
 *
 * <p>A pool consists of entries that do not persist jobs, and of one sidecar beside each target.
 * Every entry places the tasks of its own callers on any target, without coordination with other
 * entries; the sidecars accept or refuse each start.
 *
 * <p>Thread-safe.
 */
public final class PoolEntryService implements ManagedService {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final PoolEntryConfig mConfig;
    private final UnixClock mClock;
    private final MessageCounts mCounts = new MessageCounts();
    private final LatencyHistogram mJobTimes =
            new LatencyHistogram("jackdawsaddle_job_seconds", "Time from a job to its answer");

    /** The token of the latest call of {@link #submit}. */
    private final AtomicLong mLastToken = new AtomicLong();

    /**
     * The futures to complete with the answers that are still due, by token. {@link #submit}
     * returns a dependent future of each: completing or cancelling that has no effect here.
     */
    private final Map<Long, CompletableFuture<PoolAnswer>> mPendingAnswers =
            new ConcurrentHashMap<>();

    private final NodeId mSelf;
    private final PoolEntryCore mCore;
    private final WireControlLoop mLoop;
    private final WireThreads mThreads;
    private final PoolAcceptor mAcceptor;
    private final PoolDialer mDialer;
    private volatile boolean mReady;
    private volatile boolean mIdle = true;

    /** The value of {@link PoolEntryCore#longestSilenceMillis} at the latest tick. */
    private volatile long mLongestSilenceMillis;

    /** When the configuration in force was applied, in milliseconds since the epoch. */
    private volatile long mConfiguredAt;

    private volatile PoolConfiguration mConfiguration = PoolConfiguration.NONE;
    private volatile Evacuation mEvacuation = Evacuation.NONE;

    /** Creates an entry; it runs after {@link #start}. */
    public PoolEntryService(PoolEntryConfig config, UnixClock clock) {
        mConfig = config;
        mClock = clock;
        mSelf = new NodeId(config.name(), new SecureRandom().nextLong() >>> 1);
        mCore =
                new PoolEntryCore(
                        config.name(),
                        config.leaseMillis(),
                        config.resendMillis(),
                        config.processorCores());
        mThreads = new WireThreads("wire", 1);
        mLoop =
                new WireControlLoop(
                        mThreads,
                        () -> mCore.nextTickAt() - mClock.now(),
                        this::tick,
                        this::afterBatch);
        mAcceptor =
                new PoolAcceptor(
                        mSelf, config.address(), mLoop, new AcceptorListener(), mThreads, mCounts);
        mDialer =
                new PoolDialer(
                        config.address(),
                        config.seeds(),
                        mLoop,
                        new DialerListener(),
                        mThreads,
                        mCounts);
    }

    @Override
    public void start() {
        mLoop.start();
        mAcceptor.start();
        mDialer.start();
        EventLog.line(Event.STARTED)
                .with("entry", mSelf)
                .with("address", mConfig.address())
                .with("seeds", mConfig.seeds())
                .write();
    }

    @Override
    public void stop() {
        mLoop.stop();
        mDialer.stop();
        mAcceptor.stop();
        mThreads.stop();
        EventLog.line(Event.STOPPED).with("entry", mSelf).write();
    }

    /**
     * Begins a graceful shutdown: reports the entry as not ready from now on. Jobs that can end in
     * time are still accepted; all are answered by the work deadline. {@link #stop} should follow
     * once the entry is idle.
     *
     * @param workDeadline in milliseconds since the epoch
     */
    public void leave(long workDeadline) {
        EventLog.line(Event.LEAVING).with("entry", mSelf).write();
        mReady = false;
        post(new PoolEntryEvent.LeaveRequested(workDeadline));
    }

    /**
     * Submits a job. A job with the id of an active one, or of one that succeeded or failed at this
     * entry in the last 10 s, gets the answer to that job.
     *
     * @param callerLost completes when the caller no longer waits for the answer. The job is then
     *     abandoned and its runs stopped, unless other calls wait for its answer; nothing is
     *     started if it is complete already
     * @return the answer; never completes exceptionally, and does not complete once the entry has
     *     stopped
     */
    public CompletableFuture<PoolAnswer> submit(PoolJob job, CompletableFuture<Void> callerLost) {
        long token = mLastToken.incrementAndGet();
        long start = System.nanoTime();
        CompletableFuture<PoolAnswer> answer = new CompletableFuture<>();
        mPendingAnswers.put(token, answer);
        mLoop.execute(() -> submit(token, job, callerLost));
        return answer.whenComplete(
                (result, failure) -> mJobTimes.observeSince(start, result.outcome()));
    }

    private void submit(long token, PoolJob job, CompletableFuture<Void> callerLost) {
        handle(new PoolEntryEvent.JobSubmitted(token, job));
        if (callerLost.isDone()) {
            // In the same batch, before any of its tasks is placed.
            handle(new PoolEntryEvent.CallerLost(token));
        } else {
            callerLost.thenRun(() -> post(new PoolEntryEvent.CallerLost(token)));
        }
    }

    /**
     * Cancels a job, here or at another entry that is connected: its callers get {@link
     * PoolAnswer.Abandoned}. No effect if it is not active.
     *
     * @return whether the job was active at this entry
     */
    public CompletableFuture<Boolean> cancel(String id) {
        return CompletableFuture.supplyAsync(
                () -> {
                    boolean active = mCore.active(id);
                    handle(new PoolEntryEvent.JobCancelled(id));
                    return active;
                },
                mLoop::execute);
    }

    /** Puts a configuration in force, unless its version or a later one already is. */
    public void apply(PoolConfiguration configuration) {
        post(new PoolEntryEvent.ConfigurationRead(configuration));
    }

    /** Puts an evacuation of data centres in force, unless a newer one already is. */
    public void apply(Evacuation evacuation) {
        post(new PoolEntryEvent.EvacuationRead(evacuation));
    }

    /** Returns the configuration in force. */
    public PoolConfiguration configuration() {
        return mConfiguration;
    }

    /** Returns the number of jobs of a queue of which no task has been placed on a sidecar. */
    public CompletableFuture<Long> pendingJobs(String queue) {
        return CompletableFuture.supplyAsync(() -> mCore.pendingJobs(queue), mLoop::execute);
    }

    /** Returns whether callers should send jobs to this entry. */
    public boolean ready() {
        return mReady;
    }

    /** Returns whether no caller waits for an answer. */
    public boolean idle() {
        return mIdle && mPendingAnswers.isEmpty();
    }

    /** Also maintains connections to the entries at these peer addresses, given as host:port. */
    public void connect(List<String> addresses) {
        mLoop.execute(() -> addresses.forEach(mDialer::connect));
    }

    /** Adds the entry's metrics. */
    public void addMetrics(MetricsRegistry metrics) {
        for (PoolEntryCounter counter : PoolEntryCounter.values()) {
            String name = "jackdawsaddle_entry_" + counter.metricName();
            metrics.counter(name, "See docs/OPERATIONS.md", () -> mCore.counterValue(counter));
        }
        mLoop.addTo(metrics);
        mCounts.addTo(metrics);
        mJobTimes.addTo(metrics);
        mCore.durations().addTo(metrics);
        metrics.gauge("jackdawsaddle_ready", "1 if ready", () -> mReady ? 1 : 0);
        metrics.gauge(
                "jackdawsaddle_configuration_version",
                "The version in force",
                () -> mConfiguration.version());
        metrics.gauge(
                "jackdawsaddle_configuration_age_seconds",
                "Since the version in force was applied",
                () -> (mClock.now() - mConfiguredAt) / MILLIS_PER_SECOND);
        metrics.gauge(
                "jackdawsaddle_evacuation_revision",
                "The revision of the evacuation in force; 0 if none is known",
                () -> mEvacuation.revision());
        metrics.gauge(
                "jackdawsaddle_evacuated_data_centres",
                "The number of evacuated data centres",
                () -> mEvacuation.dataCentres().size());
        metrics.gauge(
                "jackdawsaddle_oldest_view_seconds",
                "Since the least lately heard of all connected sidecars was heard",
                () -> mLongestSilenceMillis / MILLIS_PER_SECOND);
    }

    private void tick() {
        handle(new PoolEntryEvent.Tick());
        mLongestSilenceMillis = mCore.longestSilenceMillis();
    }

    private void post(PoolEntryEvent event) {
        mLoop.execute(() -> handle(event));
    }

    private void handle(PoolEntryEvent event) {
        mCore.handle(event, mClock.now());
    }

    /**
     * Publishes the state that other threads read, and performs the actions that the core has
     * requested.
     */
    private void afterBatch() {
        if (mConfiguration != mCore.configuration()) {
            mConfiguration = mCore.configuration();
            mConfiguredAt = mClock.now();
        }
        mEvacuation = mCore.evacuation();
        mReady = mCore.ready();
        mIdle = mCore.idle();
        mCore.actions().forEach(action -> ControlLoop.runSafely(() -> perform(action)));
        mAcceptor.flush();
        mDialer.flush();
    }

    private void perform(PoolEntryAction action) {
        switch (action) {
            case PoolEntryAction.AnswerCaller answer ->
                    mPendingAnswers.remove(answer.token()).complete(answer.answer());
            case PoolEntryAction.SendToSidecar send ->
                    mAcceptor.send(send.sidecar(), send.message());
            case PoolEntryAction.SendToPeer send -> mDialer.send(send.peer(), send.message());
            case PoolEntryAction.AnswerPeer answer ->
                    mAcceptor.sendToPeer(answer.peer(), answer.message());
            case PoolEntryAction.DisconnectSidecar disconnect ->
                    mAcceptor.disconnect(disconnect.sidecar());
            case PoolEntryAction.DisconnectPeer disconnect -> disconnectPeer(disconnect.peer());
        }
    }

    private void disconnectPeer(NodeId peer) {
        mDialer.disconnect(peer);
        handle(new PoolEntryEvent.PeerLost(peer));
    }

    private final class AcceptorListener implements PoolAcceptor.Listener {
        @Override
        public void sidecarAnnounced(PoolMessage.Hello hello) {
            handle(new PoolEntryEvent.SidecarAnnounced(hello));
        }

        @Override
        public void sidecarLost(NodeId sidecar) {
            handle(new PoolEntryEvent.SidecarLost(sidecar));
        }

        @Override
        public void sidecarSent(NodeId sidecar, PoolMessage message) {
            handle(new PoolEntryEvent.SidecarSent(sidecar, message));
        }

        @Override
        public void peerAnnounced(PoolMessage.PeerHello hello) {
            mDialer.connect(hello.address());
            handle(new PoolEntryEvent.PeerSent(hello.entry(), hello));
        }

        @Override
        public void peerClosed(NodeId peer) {
            handle(new PoolEntryEvent.PeerClosed(peer));
        }

        @Override
        public PoolMessage.Ping heartbeat() {
            return mCore.peerHeartbeat();
        }

        @Override
        public void peerSent(NodeId peer, PoolMessage message) {
            handle(new PoolEntryEvent.PeerSent(peer, message));
        }
    }

    private final class DialerListener implements PoolDialer.Listener {
        @Override
        public void connected(NodeId entry) {
            mDialer.send(
                    entry,
                    new PoolMessage.PeerHello(
                            mSelf,
                            mConfig.address(),
                            mCore.configuration().version(),
                            mCore.evacuation().revision()));
            handle(new PoolEntryEvent.PeerConnected(entry));
        }

        @Override
        public void lost(NodeId entry) {
            handle(new PoolEntryEvent.PeerLost(entry));
        }

        @Override
        public void received(NodeId entry, PoolMessage message) {
            handle(new PoolEntryEvent.PeerAnswered(entry, message));
        }

        @Override
        public void addressLearned(String address) {
            mAcceptor.announceAddress(address);
        }
    }
}
