package org.jackdawsaddle.standin.target;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.http.HttpClient;
import org.jackdawsaddle.internal.http.HttpExchanges;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.runtime.HttpServer;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.internal.sidecar.SidecarEvent.Announcement;

/**
 * Stand-in for a target: starts every task that it is given, ends it after the time in its payload
 * divided by the speed, and keeps a ledger of starts. A task whose text starts with "poison" fails
 * at its end.
 */
public final class TargetStandIn implements ManagedService {
    private static final int OK = 200;
    private static final int FAILED = 500;
    private static final String TEXT = "text/plain";
    private static final long MAX_BODY_BYTES = 65_536;
    private static final long ANNOUNCE_INTERVAL_MILLIS = 1_000;
    private static final long ANNOUNCE_TIMEOUT_MILLIS = 900;
    private static final double MICROS_PER_MILLI = 1_000.0;

    private final TargetSettings mSettings;
    private final UnixClock mClock;
    private final StartLedger mLedger;
    private final HttpServer mServer;
    private final HttpClient mHttpClient;
    private final Map<String, RunningCall> mRunningCalls = new ConcurrentHashMap<>();
    private final ScheduledExecutorService mTimer =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().daemon().name("target-timer").factory());
    private volatile boolean mFailing;
    private volatile boolean mWithdrawn;
    private volatile boolean mFrozen;

    private record RunningCall(HttpServerExchange exchange, AtomicBoolean ended) {
        void end(int status, String body) {
            if (ended.compareAndSet(false, true)) {
                HttpExchanges.sendText(exchange, status, TEXT, body);
            }
        }
    }

    /** Creates a target that is not running. */
    public TargetStandIn(TargetSettings settings, UnixClock clock) {
        mSettings = settings;
        mClock = clock;
        mLedger = new StartLedger(Optional.ofNullable(settings.ledgerFile()).orElse(""));
        mHttpClient = new HttpClient(clock, 1);
        RoutingHandler routes = new RoutingHandler();
        routes.post("/tasks/{id}/{index}", this::run);
        routes.delete("/tasks/{id}/{index}", this::stopTask);
        routes.get(
                "/ledger", exchange -> HttpExchanges.sendJson(exchange, OK, mLedger.startCounts()));
        routes.put("/failing/{failing}", this::onSetFailing);
        mServer = new HttpServer(settings.httpAddress(), 1, MAX_BODY_BYTES, 0, routes);
    }

    @Override
    public void start() {
        mServer.start();
        mHttpClient.start();
        mTimer.scheduleWithFixedDelay(
                this::announce, 0, ANNOUNCE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        mTimer.shutdownNow();
        mServer.stop();
        mHttpClient.stop();
    }

    /** Returns the ledger of the tasks started here. */
    public StartLedger ledger() {
        return mLedger;
    }

    /** Sets whether every task that starts from now on fails immediately. */
    public void setFailing(boolean failing) {
        mFailing = failing;
    }

    /**
     * Returns the payload of a task.
     *
     * @param millis the run time at speed 1, in milliseconds
     * @param text returned in the answer of the task
     */
    public static String payload(double millis, String text) {
        return millis + " " + text;
    }

    /** Freezes the target for good: tasks end only if they are stopped. */
    public void freeze() {
        mFrozen = true;
    }

    /** Withdraws the announcement, so that no new tasks are sent; running tasks are finished. */
    public void withdraw() {
        mWithdrawn = true;
        mHttpClient.send(
                new HttpRequest(
                        "DELETE",
                        mSettings.sidecarAddress(),
                        "/v1/announcement",
                        "",
                        mClock.now() + ANNOUNCE_TIMEOUT_MILLIS));
    }

    private void announce() {
        if (mWithdrawn) {
            return;
        }
        Announcement announcement =
                new Announcement(
                        mSettings.name(),
                        mSettings.service(),
                        mSettings.httpAddress(),
                        mSettings.slots(),
                        mSettings.connections(),
                        mSettings.capacity(),
                        Demand.NONE);
        mHttpClient.send(
                new HttpRequest(
                        "PUT",
                        mSettings.sidecarAddress(),
                        "/v1/announcement",
                        Json.write(announcement),
                        mClock.now() + ANNOUNCE_TIMEOUT_MILLIS));
    }

    private void run(HttpServerExchange exchange) {
        String task = task(exchange);
        mLedger.recordStart(task);
        HttpExchanges.receiveBody(
                exchange,
                payload -> {
                    RunningCall call = new RunningCall(exchange, new AtomicBoolean());
                    mRunningCalls.put(task, call);
                    if (mFailing) {
                        end(task, call, FAILED, "failing");
                        return;
                    }
                    int space = payload.indexOf(' ');
                    double millis = Double.parseDouble(payload.substring(0, space));
                    String text = payload.substring(space + 1);
                    long micros = (long) (millis * MICROS_PER_MILLI / mSettings.speed());
                    completeAfter(exchange, micros, () -> finish(task, call, text));
                });
    }

    private void completeAfter(HttpServerExchange exchange, long micros, Runnable end) {
        if (micros <= 0) {
            end.run();
        } else {
            exchange.getIoThread().executeAfter(end, micros, TimeUnit.MICROSECONDS);
        }
    }

    private void finish(String task, RunningCall call, String text) {
        if (text.startsWith("poison")) {
            end(task, call, FAILED, "cannot run: " + text);
        } else {
            end(task, call, OK, "done " + text);
        }
    }

    private void end(String task, RunningCall call, int status, String body) {
        if (mFrozen) {
            return;
        }
        mRunningCalls.remove(task, call);
        call.end(status, body);
    }

    private void stopTask(HttpServerExchange exchange) {
        String task = task(exchange);
        Optional.ofNullable(mRunningCalls.remove(task))
                .ifPresent(call -> call.end(FAILED, "stopped"));
        HttpExchanges.sendJson(exchange, OK, "{}");
    }

    private void onSetFailing(HttpServerExchange exchange) {
        setFailing(Boolean.parseBoolean(exchange.getQueryParameters().get("failing").peekFirst()));
        HttpExchanges.sendJson(exchange, OK, "{}");
    }

    private static String task(HttpServerExchange exchange) {
        return exchange.getQueryParameters().get("id").peekFirst()
                + "/"
                + exchange.getQueryParameters().get("index").peekFirst();
    }
}
