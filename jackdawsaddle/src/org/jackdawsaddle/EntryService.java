package org.jackdawsaddle;

import io.undertow.server.RoutingHandler;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jackdawsaddle.internal.dispatch.EntryAction;
import org.jackdawsaddle.internal.dispatch.EntryCore;
import org.jackdawsaddle.internal.dispatch.EntryCounter;
import org.jackdawsaddle.internal.dispatch.EntryEvent;
import org.jackdawsaddle.internal.dispatch.EntryRecord;
import org.jackdawsaddle.internal.dispatch.EntryStatus;
import org.jackdawsaddle.internal.dispatch.Layout;
import org.jackdawsaddle.internal.dispatch.QueueOrder;
import org.jackdawsaddle.internal.entry.EntryApi;
import org.jackdawsaddle.internal.entry.EntryConnections;
import org.jackdawsaddle.internal.entry.EntryRoutes;
import org.jackdawsaddle.internal.entry.StoreWatcher;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.message.PeerMessage;
import org.jackdawsaddle.internal.runtime.ControlLoop;
import org.jackdawsaddle.internal.runtime.HttpServer;
import org.jackdawsaddle.internal.runtime.MetricsRegistry;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.internal.wire.MessageCounts;
import org.jackdawsaddle.internal.wire.WireThreads;
import org.jackdawsaddle.job.JobAnswer;
import org.jackdawsaddle.job.JobRequest;
import org.jackdawsaddle.job.SubmissionId;
import org.jackdawsaddle.settings.EntrySettings;
import org.jackdawsaddle.store.StoreClient;
import org.jackdawsaddle.trace.TraceHeader;
import org.jackdawsaddle.trace.TraceWriter;

/**
 * An entry: accepts jobs and configuration changes over HTTP, and dispatches the tasks of the
 * partitions that it owns.
 */
public final class EntryService implements ManagedService {
    private static final Logger LOG = LogManager.getLogger(EntryService.class);
    private static final int IO_THREADS = 2;
    private static final long STATUS_TIMEOUT_MILLIS = 1_000;
    private static final long DRAIN_POLL_MILLIS = 20;

    private final EntrySettings mSettings;
    private final StoreClient mStore;
    private final UnixClock mClock;
    private final MessageCounts mCounts = new MessageCounts();
    private final MetricsRegistry mMetrics = new MetricsRegistry();
    private final AtomicLong mLastToken = new AtomicLong();

    /** The answers that callers wait for, by token. */
    private final Map<Long, CompletableFuture<JobAnswer>> mPendingAnswers =
            new ConcurrentHashMap<>();

    /** The statuses queried from peers, by token. */
    private final Map<Long, CompletableFuture<EntryStatus>> mPendingStatuses =
            new ConcurrentHashMap<>();

    private final EntryCore mCore;
    private final ControlLoop mLoop;
    private final EntryConnections mConnections;
    private final StoreWatcher mStoreWatcher;
    private final HttpServer mHttpServer;
    private final Optional<TraceWriter> mTraceWriter;
    private volatile boolean mReady;

    /** Creates an entry that runs once started. */
    public EntryService(EntrySettings settings, StoreClient store, UnixClock clock) {
        mSettings = settings;
        mStore = store;
        mClock = clock;
        SecureRandom random = new SecureRandom();
        NodeId self = new NodeId(settings.name(), random.nextLong() >>> 1);
        EntryRecord record =
                new EntryRecord(
                        self,
                        settings.reachableAddress(),
                        settings.httpAddress(),
                        settings.dataCentre());
        QueueOrder order = QueueOrder.valueOf(settings.queueOrder());
        Layout layout = new Layout(settings.partitions());
        mCore = new EntryCore(record, layout, order, random);
        mTraceWriter =
                Optional.of(settings.traceFile())
                        .filter(file -> !file.isEmpty())
                        .map(file ->
                                new TraceWriter(
                                        Path.of(file),
                                        new TraceHeader.OfEntry(record, layout, order)));
        mLoop =
                new ControlLoop(
                        "control-" + settings.name(),
                        mCore::tickMillis,
                        () -> handle(new EntryEvent.Tick()),
                        this::perform);
        WireThreads threads = new WireThreads("wire-" + settings.name(), IO_THREADS);
        mConnections =
                new EntryConnections(
                        self, settings.peerAddress(), mLoop, this::handle, threads, mCounts);
        mStoreWatcher =
                new StoreWatcher(
                        store,
                        values -> mLoop.execute(() -> handle(new EntryEvent.StoreRead(values))));
        addMetrics();
        RoutingHandler routes =
                EntryRoutes.create(new ControlThreadApi(), store, settings.adminToken(), mMetrics);
        mHttpServer =
                new HttpServer(
                        settings.httpAddress(),
                        IO_THREADS,
                        settings.maxBodyBytes(),
                        settings.drainMillis(),
                        routes);
    }

    @Override
    public void start() {
        mTraceWriter.ifPresent(TraceWriter::start);
        mConnections.start();
        mLoop.start();
        mStoreWatcher.start();
        mHttpServer.start();
        LOG.info("Entry {} is listening for HTTP on {}", mSettings.name(), mSettings.httpAddress());
    }

    @Override
    public void stop() {
        LOG.info("Entry {} is draining", mSettings.name());
        mReady = false;
        mLoop.execute(() -> handle(new EntryEvent.LeaveRequested()));
        mHttpServer.stop();
        awaitIdle();
        mStoreWatcher.stop();
        mLoop.stop();
        mTraceWriter.ifPresent(TraceWriter::stop);
        mConnections.stop();
        LOG.info("Entry {} has stopped", mSettings.name());
    }

    /** Returns the counts of messages sent to other processes. */
    public MessageCounts messageCounts() {
        return mCounts;
    }

    /**
     * Returns the value of a counter. It is read without synchronization, and therefore exact only
     * while no event is being handled.
     */
    public long counterValue(EntryCounter counter) {
        return mCore.counterValue(counter);
    }

    /** Returns the interface through which callers in this process use the entry without HTTP. */
    public EntryApi api() {
        return new ControlThreadApi();
    }

    private void handle(EntryEvent event) {
        if (event instanceof EntryEvent.PeerSent sent
                && sent.message() instanceof PeerMessage.StatusAnswer answer) {
            onStatusAnswer(answer);
            return;
        }
        long now = mClock.now();
        mTraceWriter.ifPresent(trace -> trace.writeEvent(now, event));
        mCore.handle(event, now);
    }

    private void perform() {
        List<EntryAction> actions = mCore.actions();
        mTraceWriter.ifPresent(trace -> trace.writeActions(actions));
        actions.forEach(action -> ControlLoop.runSafely(() -> perform(action)));
        mConnections.flush();
        mReady = mCore.ready();
    }

    private void perform(EntryAction action) {
        switch (action) {
            case EntryAction.AnswerCaller answer ->
                    Optional.ofNullable(mPendingAnswers.remove(answer.token()))
                            .ifPresent(pending -> pending.complete(answer.answer()));
            case EntryAction.SendToSidecar send ->
                    mConnections.sendToSidecar(send.sidecar(), send.message());
            case EntryAction.SendToPeer send ->
                    mConnections.sendToPeer(send.peer(), send.message());
            case EntryAction.ConnectPeer connect ->
                    mConnections.connectPeer(connect.peer(), connect.address());
            case EntryAction.DisconnectPeer disconnect ->
                    mConnections.disconnectPeer(disconnect.peer());
            case EntryAction.WriteStore write -> writeStore(write);
            case EntryAction.ReadStore read -> readStore(read.key());
        }
    }

    private void writeStore(EntryAction.WriteStore write) {
        mStore.compareAndSet(
                        write.key(), write.expectedVersion(), write.value(), write.leaseMillis())
                .whenComplete((version, failure) ->
                        enqueue(
                                failure == null
                                        ? new EntryEvent.StoreWritten(write.key(), version)
                                        : new EntryEvent.StoreFailed(write.key())));
    }

    private void readStore(String key) {
        mStore.read(key)
                .whenComplete((value, failure) ->
                        enqueue(
                                failure == null
                                        ? new EntryEvent.StoreRead(List.of(value))
                                        : new EntryEvent.StoreFailed(key)));
    }

    private void enqueue(EntryEvent event) {
        mLoop.execute(() -> handle(event));
    }

    private void onStatusAnswer(PeerMessage.StatusAnswer answer) {
        Optional.ofNullable(mPendingStatuses.remove(answer.token()))
                .ifPresent(pendingStatus ->
                        pendingStatus.complete(Json.read(answer.status(), EntryStatus.class)));
    }

    private void awaitIdle() {
        long deadline = mClock.now() + mSettings.drainMillis();
        try {
            while (!callOnControlThread(mCore::idle).join() && mClock.now() < deadline) {
                Thread.sleep(DRAIN_POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private <T> CompletableFuture<T> callOnControlThread(Supplier<T> work) {
        return CompletableFuture.supplyAsync(work, mLoop::execute);
    }

    private void addMetrics() {
        for (EntryCounter counter : EntryCounter.values()) {
            String name = "jackdawsaddle_entry_" + counter.metricName();
            mMetrics.counter(name, "See docs/OPERATIONS.md", () -> mCore.counterValue(counter));
        }
        mCounts.addTo(mMetrics);
        mMetrics.gauge("jackdawsaddle_ready", "1 if ready", () -> mReady ? 1 : 0);
        mMetrics.gauge(
                "jackdawsaddle_store_failing",
                "1 if failing",
                () -> mStoreWatcher.failing() ? 1 : 0);
    }

    /** Passes requests to the control thread, which completes the returned futures. */
    private final class ControlThreadApi implements EntryApi {
        @Override
        public CompletableFuture<JobAnswer> submit(JobRequest request) {
            return enqueueCallerEvent(token -> new EntryEvent.CallerSubmitted(token, request));
        }

        @Override
        public CompletableFuture<JobAnswer> query(SubmissionId id, String service) {
            return enqueueCallerEvent(token -> new EntryEvent.CallerQueried(token, id, service));
        }

        private CompletableFuture<JobAnswer> enqueueCallerEvent(LongFunction<EntryEvent> event) {
            long token = mLastToken.incrementAndGet();
            CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
            mPendingAnswers.put(token, answer);
            enqueue(event.apply(token));
            return answer;
        }

        @Override
        public void cancel(SubmissionId id, String service) {
            enqueue(new EntryEvent.CallerCancelled(id, service));
        }

        @Override
        public CompletableFuture<List<SubmissionId>> issueIds(int count, Optional<String> kind) {
            return callOnControlThread(() -> {
                List<SubmissionId> ids = new ArrayList<>();
                for (int index = 0; index < count; index++) {
                    ids.add(mCore.issueId(kind, mClock.now()));
                }
                return ids;
            });
        }

        @Override
        public CompletableFuture<List<EntryStatus>> status() {
            return callOnControlThread(this::queryStatuses)
                    .thenCompose(pendingStatuses ->
                            CompletableFuture.allOf(
                                            pendingStatuses.toArray(CompletableFuture[]::new))
                                    .thenApply(ignored -> collect(pendingStatuses)));
        }

        private List<CompletableFuture<Optional<EntryStatus>>> queryStatuses() {
            List<CompletableFuture<Optional<EntryStatus>>> pendingStatuses = new ArrayList<>();
            pendingStatuses.add(CompletableFuture.completedFuture(Optional.of(mCore.status())));
            for (NodeId peer : mConnections.peers()) {
                long token = mLastToken.incrementAndGet();
                CompletableFuture<EntryStatus> pendingStatus = new CompletableFuture<>();
                mPendingStatuses.put(token, pendingStatus);
                mConnections.sendToPeer(peer, new PeerMessage.StatusQuery(token));
                pendingStatuses.add(
                        pendingStatus
                                .thenApply(Optional::of)
                                .completeOnTimeout(
                                        Optional.empty(),
                                        STATUS_TIMEOUT_MILLIS,
                                        TimeUnit.MILLISECONDS)
                                .whenComplete((status, failure) -> mPendingStatuses.remove(token)));
            }
            return pendingStatuses;
        }

        private static List<EntryStatus> collect(
                List<CompletableFuture<Optional<EntryStatus>>> pendingStatuses) {
            return pendingStatuses.stream()
                    .flatMap(pendingStatus -> pendingStatus.join().stream())
                    .toList();
        }

        @Override
        public CompletableFuture<String> configuration() {
            return callOnControlThread(mCore::configuration);
        }

        @Override
        public boolean ready() {
            return mReady;
        }

        @Override
        public long now() {
            return mClock.now();
        }
    }
}
