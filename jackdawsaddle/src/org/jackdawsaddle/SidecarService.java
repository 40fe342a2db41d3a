package org.jackdawsaddle;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jackdawsaddle.internal.dispatch.Timing;
import org.jackdawsaddle.internal.http.HttpClient;
import org.jackdawsaddle.internal.http.HttpExchanges;
import org.jackdawsaddle.internal.json.StrictJson;
import org.jackdawsaddle.internal.runtime.ControlLoop;
import org.jackdawsaddle.internal.runtime.HealthHandler;
import org.jackdawsaddle.internal.runtime.HttpServer;
import org.jackdawsaddle.internal.runtime.MetricsRegistry;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.internal.sidecar.SidecarAction;
import org.jackdawsaddle.internal.sidecar.SidecarConnections;
import org.jackdawsaddle.internal.sidecar.SidecarCore;
import org.jackdawsaddle.internal.sidecar.SidecarCounter;
import org.jackdawsaddle.internal.sidecar.SidecarEvent;
import org.jackdawsaddle.internal.sidecar.TargetClient;
import org.jackdawsaddle.internal.wire.MessageCounts;
import org.jackdawsaddle.internal.wire.WireThreads;
import org.jackdawsaddle.settings.SidecarSettings;
import org.jackdawsaddle.trace.TraceHeader;
import org.jackdawsaddle.trace.TraceWriter;

/** A sidecar: the process beside a target that starts all tasks of the target. */
public final class SidecarService implements ManagedService {
    private static final Logger LOG = LogManager.getLogger(SidecarService.class);
    private static final int OK = 200;
    private static final long MAX_BODY_BYTES = 65_536;

    /** Also the time that the HTTP server waits for requests in progress when it stops. */
    private static final long DRAIN_POLL_MILLIS = 20;

    private final SidecarSettings mSettings;
    private final UnixClock mClock;
    private final MessageCounts mCounts = new MessageCounts();
    private final MetricsRegistry mMetrics = new MetricsRegistry();
    private final SidecarCore mCore;
    private final ControlLoop mLoop;
    private final SidecarConnections mConnections;
    private final HttpClient mHttpClient;
    private final TargetClient mTargetClient;
    private final HttpServer mHttpServer;
    private final Optional<TraceWriter> mTraceWriter;
    private volatile boolean mServing;

    /** Creates a sidecar that runs once started. */
    public SidecarService(SidecarSettings settings, UnixClock clock) {
        mSettings = settings;
        mClock = clock;
        long incarnation = new SecureRandom().nextLong() >>> 1;
        NodeId self = new NodeId(settings.name(), incarnation);
        long startedAt = clock.now();
        mCore = new SidecarCore(self, settings.dataCentre(), startedAt);
        TraceHeader header = new TraceHeader.OfSidecar(self, settings.dataCentre(), startedAt);
        mTraceWriter =
                Optional.of(settings.traceFile())
                        .filter(file -> !file.isEmpty())
                        .map(file -> new TraceWriter(Path.of(file), header));
        mLoop =
                new ControlLoop(
                        "control-" + settings.name(),
                        () -> Timing.SIDECAR_TICK_MILLIS,
                        () -> handle(new SidecarEvent.Tick()),
                        this::perform);
        WireThreads threads = new WireThreads("wire-" + settings.name(), 1);
        mConnections =
                new SidecarConnections(
                        settings.entryAddresses(), mLoop, this::handle, threads, mCounts);
        mHttpClient = new HttpClient(clock, 1);
        mTargetClient = new TargetClient(mHttpClient, clock);
        addMetrics();
        mHttpServer =
                new HttpServer(
                        settings.httpAddress(), 1, MAX_BODY_BYTES, DRAIN_POLL_MILLIS, routes());
    }

    @Override
    public void start() {
        mTraceWriter.ifPresent(TraceWriter::start);
        mHttpClient.start();
        mLoop.start();
        mConnections.start();
        mHttpServer.start();
        LOG.info(
                "Sidecar {} is listening for its target on {}",
                mSettings.name(),
                mSettings.httpAddress());
    }

    @Override
    public void stop() {
        LOG.info("Sidecar {} is draining", mSettings.name());
        mLoop.execute(() -> handle(new SidecarEvent.LeaveRequested()));
        awaitIdle();
        mHttpServer.stop();
        mLoop.stop();
        mTraceWriter.ifPresent(TraceWriter::stop);
        mConnections.stop();
        mHttpClient.stop();
        LOG.info("Sidecar {} has stopped", mSettings.name());
    }

    /** Returns the counts of messages sent to entries. */
    public MessageCounts messageCounts() {
        return mCounts;
    }

    /**
     * Returns the value of a counter. It is read without synchronization, and therefore exact only
     * while no event is being handled.
     */
    public long counterValue(SidecarCounter counter) {
        return mCore.counterValue(counter);
    }

    private RoutingHandler routes() {
        RoutingHandler routes = new RoutingHandler();
        routes.put("/v1/announcement", this::onAnnouncement);
        routes.delete("/v1/announcement", this::onWithdrawal);
        HealthHandler.addTo(routes, () -> mServing, mMetrics);
        return routes;
    }

    private void onAnnouncement(HttpServerExchange exchange) {
        HttpExchanges.receiveBody(
                exchange,
                body -> {
                    SidecarEvent.Announcement announcement =
                            StrictJson.read(body, SidecarEvent.Announcement.class);
                    enqueue(new SidecarEvent.TargetAnnounced(announcement));
                    HttpExchanges.sendJson(exchange, OK, "{}");
                });
    }

    private void onWithdrawal(HttpServerExchange exchange) {
        enqueue(new SidecarEvent.TargetWithdrawn());
        HttpExchanges.sendJson(exchange, OK, "{}");
    }

    private void enqueue(SidecarEvent event) {
        mLoop.execute(() -> handle(event));
    }

    private void handle(SidecarEvent event) {
        long now = mClock.now();
        mTraceWriter.ifPresent(trace -> trace.writeEvent(now, event));
        mCore.handle(event, now);
    }

    private void perform() {
        List<SidecarAction> actions = mCore.actions();
        mTraceWriter.ifPresent(trace -> trace.writeActions(actions));
        actions.forEach(this::perform);
        mConnections.flush();
        mServing = mCore.serving();
    }

    private void perform(SidecarAction action) {
        switch (action) {
            case SidecarAction.SendToEntry send -> mConnections.send(send.entry(), send.message());
            case SidecarAction.RunTask run -> mTargetClient.run(run).thenAccept(this::enqueue);
            case SidecarAction.StopTask stop -> mTargetClient.stop(stop);
        }
    }

    private void awaitIdle() {
        long deadline = mClock.now() + mSettings.drainMillis();
        try {
            while (!idle() && mClock.now() < deadline) {
                Thread.sleep(DRAIN_POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean idle() {
        CompletableFuture<Boolean> idle = new CompletableFuture<>();
        mLoop.execute(() -> idle.complete(mCore.idle()));
        return idle.join();
    }

    private void addMetrics() {
        for (SidecarCounter counter : SidecarCounter.values()) {
            String name = "jackdawsaddle_sidecar_" + counter.metricName();
            mMetrics.counter(name, "See docs/OPERATIONS.md", () -> mCore.counterValue(counter));
        }
        mCounts.addTo(mMetrics);
        mMetrics.gauge("jackdawsaddle_serving", "1 if serving", () -> mServing ? 1 : 0);
    }
}
