package org.jackdawsaddle;

import java.security.SecureRandom;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.pool.connection.PoolDialer;
import org.jackdawsaddle.internal.pool.sidecar.AnnouncementCheck;
import org.jackdawsaddle.internal.pool.sidecar.PoolSidecarAction;
import org.jackdawsaddle.internal.pool.sidecar.PoolSidecarCore;
import org.jackdawsaddle.internal.pool.sidecar.PoolSidecarCounter;
import org.jackdawsaddle.internal.pool.sidecar.PoolSidecarEvent;
import org.jackdawsaddle.internal.runtime.ControlLoop;
import org.jackdawsaddle.internal.runtime.LatencyHistogram;
import org.jackdawsaddle.internal.runtime.MetricsRegistry;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.internal.wire.MessageCounts;
import org.jackdawsaddle.internal.wire.WireControlLoop;
import org.jackdawsaddle.internal.wire.WireThreads;
import org.jackdawsaddle.pool.PoolSidecarConfig;
import org.jackdawsaddle.pool.TargetGateway;
import org.jackdawsaddle.pool.TargetGateway.PollReply;
import org.jackdawsaddle.pool.TargetGateway.StartReply;
import org.jackdawsaddle.pool.TargetIncarnation;
import org.jackdawsaddle.pool.TargetStore;

/**
 * A sidecar of a pool: the only process that sends orders to the target beside it. {@link
 * PoolEntryService} describes a pool.
 *
 * <p>Thread-safe.
 */
public final class PoolSidecarService implements ManagedService {
    private static final Logger LOG = LogManager.getLogger(PoolSidecarService.class);

    private final UnixClock mClock;
    private final TargetGateway mGateway;
    private final TargetStore mStore;
    private final LatencyHistogram mStartTimes =
            new LatencyHistogram(
                    "jackdawsaddle_start_seconds", "Time from an order to start to its answer");
    private final MessageCounts mCounts = new MessageCounts();
    private final NodeId mSelf;
    private final PoolSidecarCore mCore;
    private final WireControlLoop mLoop;
    private final WireThreads mThreads;
    private final PoolDialer mDialer;
    private volatile boolean mServing;
    private volatile boolean mEvacuated;
    private volatile boolean mIdle = true;

    /**
     * Creates a sidecar; it runs after {@link #start}. Its first fencing token is the time of its
     * creation in milliseconds since the epoch, which is higher than that of an earlier process
     * unless the clock was set back.
     */
    public PoolSidecarService(
            PoolSidecarConfig config, TargetGateway gateway, TargetStore store, UnixClock clock) {
        mClock = clock;
        mGateway = gateway;
        mStore = store;
        mSelf = new NodeId(config.name(), new SecureRandom().nextLong() >>> 1);
        mCore = new PoolSidecarCore(mSelf, config.dataCentre(), clock.now(), config.leaseMillis());
        mThreads = new WireThreads("wire", 1);
        mLoop =
                new WireControlLoop(
                        mThreads,
                        () -> mCore.nextTickAt() - mClock.now(),
                        () -> handle(new PoolSidecarEvent.Tick()),
                        this::afterBatch);
        mDialer =
                new PoolDialer("", config.seeds(), mLoop, new DialerListener(), mThreads, mCounts);
    }

    @Override
    public void start() {
        mLoop.start();
        mStore.load()
                .thenAccept(target ->
                        target.filter(this::plausible)
                                .ifPresent(
                                        known -> post(new PoolSidecarEvent.TargetLoaded(known))));
        mDialer.start();
        EventLog.line(Event.STARTED).with("sidecar", mSelf).write();
    }

    @Override
    public void stop() {
        mLoop.stop();
        mDialer.stop();
        mThreads.stop();
        EventLog.line(Event.STOPPED).with("sidecar", mSelf).write();
    }

    /** Begins a graceful shutdown: accepts no new tasks from now on; active runs continue. */
    public void leave() {
        EventLog.line(Event.LEAVING).with("sidecar", mSelf).write();
        post(new PoolSidecarEvent.LeaveRequested());
    }

    /** Handles an announcement of the target; one that cannot be true is logged and ignored. */
    public void announce(TargetIncarnation target) {
        if (plausible(target)) {
            post(new PoolSidecarEvent.TargetAnnounced(target));
        }
    }

    private boolean plausible(TargetIncarnation target) {
        return AnnouncementCheck.plausible(target, mClock.now());
    }

    /**
     * Handles a clean shutdown of the target: no new tasks are accepted until its next
     * announcement.
     *
     * @param targetName the name of the target
     */
    public void withdraw(String targetName) {
        post(new PoolSidecarEvent.TargetWithdrawn(targetName));
    }

    /** Returns whether no run is left and a poll that acknowledges all ended runs was sent. */
    public boolean idle() {
        return mIdle;
    }

    /** Also maintains connections to the entries at these peer addresses, given as host:port. */
    public void connect(List<String> addresses) {
        mLoop.execute(() -> addresses.forEach(mDialer::connect));
    }

    /** Adds the sidecar's metrics. */
    public void addMetrics(MetricsRegistry metrics) {
        for (PoolSidecarCounter counter : PoolSidecarCounter.values()) {
            String name = "jackdawsaddle_sidecar_" + counter.metricName();
            metrics.counter(name, "See docs/OPERATIONS.md", () -> mCore.counterValue(counter));
        }
        mLoop.addTo(metrics);
        mCounts.addTo(metrics);
        mStartTimes.addTo(metrics);
        metrics.gauge("jackdawsaddle_serving", "1 if serving", () -> mServing ? 1 : 0);
        metrics.gauge(
                "jackdawsaddle_evacuated",
                "1 if the data centre is evacuated",
                () -> mEvacuated ? 1 : 0);
    }

    private void post(PoolSidecarEvent event) {
        mLoop.execute(() -> handle(event));
    }

    private void handle(PoolSidecarEvent event) {
        mCore.handle(event, mClock.now());
    }

    /**
     * Performs the actions that the core has requested, and publishes the state that other threads
     * read.
     */
    private void afterBatch() {
        mCore.actions().forEach(action -> ControlLoop.runSafely(() -> perform(action)));
        mDialer.flush();
        mServing = mCore.serving();
        mEvacuated = mCore.evacuated();
        mIdle = mCore.idle();
    }

    private void perform(PoolSidecarAction action) {
        switch (action) {
            case PoolSidecarAction.SendToEntry send -> mDialer.send(send.entry(), send.message());
            case PoolSidecarAction.SaveTarget save ->
                    call(() -> mStore.save(save.target()), false)
                            .thenAccept(saved ->
                                    post(new PoolSidecarEvent.TargetSaved(save.target(), saved)));
            case PoolSidecarAction.DisconnectEntry disconnect ->
                    mDialer.disconnect(disconnect.entry());
            case PoolSidecarAction.StartRun start -> sendStartOrder(start);
            case PoolSidecarAction.StopRun stop -> sendStopOrder(stop);
            case PoolSidecarAction.Poll poll -> sendPoll(poll);
        }
    }

    private void sendStopOrder(PoolSidecarAction.StopRun stop) {
        call(
                        () ->
                                mGateway.stop(
                                        stop.target(),
                                        stop.run().task(),
                                        stop.run().run(),
                                        stop.fencingToken()),
                        false)
                .thenAccept(confirmed ->
                        post(new PoolSidecarEvent.StopAnswered(stop.run(), confirmed)));
    }

    private void sendPoll(PoolSidecarAction.Poll poll) {
        call(
                        () ->
                                mGateway.poll(
                                        poll.target(),
                                        poll.leaseUntil(),
                                        poll.ackCursor(),
                                        poll.waitMillis(),
                                        poll.fencingToken()),
                        new PollReply.Unanswered())
                .thenAccept(reply ->
                        post(
                                new PoolSidecarEvent.PollAnswered(
                                        poll.target(), poll.number(), reply)));
    }

    private void sendStartOrder(PoolSidecarAction.StartRun start) {
        long sentAt = System.nanoTime();
        call(
                        () ->
                                mGateway.start(
                                        start.target(),
                                        start.run().task(),
                                        start.run().run(),
                                        start.payload(),
                                        start.leaseUntil(),
                                        start.fencingToken()),
                        StartReply.UNANSWERED)
                .thenAccept(reply -> {
                    mStartTimes.observeSince(sentAt, reply.name().toLowerCase(Locale.ROOT));
                    post(new PoolSidecarEvent.StartAnswered(start.run(), reply));
                });
    }

    /**
     * Makes a call whose future always completes with a value: the core waits for the answer to
     * each action.
     *
     * @param unanswered the value if the call, or its future, fails
     */
    private static <T> CompletableFuture<T> call(
            Supplier<CompletableFuture<T>> call, T unanswered) {
        return CompletableFuture.completedFuture(call)
                .thenCompose(Supplier::get)
                .exceptionally(failure -> {
                    LOG.error("Unexpected failure of a call; taking it as unanswered", failure);
                    return unanswered;
                });
    }

    private final class DialerListener implements PoolDialer.Listener {
        @Override
        public void connected(NodeId entry) {
            handle(new PoolSidecarEvent.EntryConnected(entry));
        }

        @Override
        public void lost(NodeId entry) {
            handle(new PoolSidecarEvent.EntryLost(entry));
        }

        @Override
        public void received(NodeId entry, PoolMessage message) {
            handle(new PoolSidecarEvent.EntrySent(entry, message));
        }

        @Override
        public void addressLearned(String address) {
            EventLog.line(Event.ENTRY_FOUND).with("address", address).write();
        }
    }
}
