package org.jackdawsaddle.standin.store;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.SameThreadExecutor;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.internal.http.HttpExchanges;
import org.jackdawsaddle.internal.runtime.HttpServer;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.store.StoreValue;
import org.xnio.IoUtils;

/**
 * In-memory stand-in for the key-value store that entries use through {@link
 * org.jackdawsaddle.internal.store.HttpStoreClient}, with faults that can be switched on.
 */
public final class StoreStandIn implements ManagedService {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final long MAX_VALUE_BYTES = 1_048_576;
    private static final long SWEEP_INTERVAL_MILLIS = 20;
    private static final long SLOW_DELAY_MILLIS = 1_500;

    /** The response to a write. */
    record WrittenBody(long version) {}

    /** The response to a watch. */
    record ChangesBody(long position, List<StoreValue> values) {}

    /**
     * A pending watch.
     *
     * @param position the position in the change log after which changes are returned
     * @param deadline when it is answered without changes, in milliseconds since the epoch
     */
    private record Watcher(
            HttpServerExchange exchange, String prefix, long position, long deadline) {}

    private final UnixClock mClock;
    private final StoreState mState = new StoreState();
    private final List<Watcher> mWatchers = new ArrayList<>();
    private final AtomicLong mCallCount = new AtomicLong();
    private final ScheduledExecutorService mTimer =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().daemon().name("store-timer").factory());
    private final HttpServer mServer;
    private volatile StoreFault mFault = StoreFault.NONE;

    /** Creates an empty store that is not running. */
    public StoreStandIn(StoreSettings settings, UnixClock clock) {
        mClock = clock;
        RoutingHandler routes = new RoutingHandler();
        routes.get("/v1/values/*", withFault(this::read));
        routes.put("/v1/values/*", withFault(this::write));
        routes.get("/v1/changes", withFault(this::watch));
        routes.put("/faults/{fault}", this::onSetFault);
        routes.get(
                "/calls", exchange -> HttpExchanges.sendJson(exchange, OK, "" + mCallCount.get()));
        mServer = new HttpServer(settings.httpAddress(), 1, MAX_VALUE_BYTES, 0, routes);
    }

    @Override
    public void start() {
        mServer.start();
        mTimer.scheduleWithFixedDelay(
                this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        mTimer.shutdownNow();
        mServer.stop();
    }

    /** Sets the fault, which lasts until the next call. */
    public void setFault(StoreFault fault) {
        mFault = fault;
    }

    /** Returns the number of requests received from store clients, watches included. */
    public long calls() {
        return mCallCount.get();
    }

    private HttpHandler withFault(HttpHandler handler) {
        return exchange -> {
            mCallCount.incrementAndGet();
            switch (mFault) {
                case DOWN -> IoUtils.safeClose(exchange.getConnection());
                case SLOW ->
                        exchange.dispatch(
                                SameThreadExecutor.INSTANCE,
                                () ->
                                        exchange.getIoThread()
                                                .executeAfter(
                                                        () -> handleLate(handler, exchange),
                                                        SLOW_DELAY_MILLIS,
                                                        TimeUnit.MILLISECONDS));
                default -> handler.handleRequest(exchange);
            }
        };
    }

    private static void handleLate(HttpHandler handler, HttpServerExchange exchange) {
        try {
            handler.handleRequest(exchange);
        } catch (Exception e) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void onSetFault(HttpServerExchange exchange) {
        setFault(StoreFault.valueOf(parameter(exchange, "fault").orElse("NONE")));
        HttpExchanges.sendJson(exchange, OK, "{}");
    }

    private void read(HttpServerExchange exchange) {
        StoreValue value = mState.read(key(exchange));
        reply(exchange, value.absent() ? NOT_FOUND : OK, value);
    }

    private void write(HttpServerExchange exchange) {
        HttpExchanges.receiveBody(
                exchange,
                body -> {
                    long expected = number(exchange, "version").orElse(0L);
                    long expiresAt =
                            number(exchange, "leaseMillis")
                                    .map(millis -> mClock.now() + millis)
                                    .orElse(Long.MAX_VALUE);
                    Optional<Long> version =
                            mState.compareAndSet(key(exchange), expected, body, expiresAt);
                    reply(
                            exchange,
                            version.isPresent() ? OK : CONFLICT,
                            new WrittenBody(version.orElse(0L)));
                    answerWatchers();
                });
    }

    private void watch(HttpServerExchange exchange) {
        HttpExchanges.dispatch(
                exchange,
                () -> {
                    long deadline = mClock.now() + number(exchange, "waitMillis").orElse(0L);
                    Watcher watcher =
                            new Watcher(
                                    exchange,
                                    parameter(exchange, "prefix").orElse(""),
                                    number(exchange, "position").orElse(0L),
                                    deadline);
                    synchronized (mWatchers) {
                        mWatchers.add(watcher);
                    }
                    answerWatchers();
                });
    }

    private void sweep() {
        mState.expire(mClock.now());
        answerWatchers();
    }

    private void answerWatchers() {
        synchronized (mWatchers) {
            for (Iterator<Watcher> it = mWatchers.iterator(); it.hasNext(); ) {
                Watcher watcher = it.next();
                long position = mState.position();
                List<StoreValue> changes = mState.changes(watcher.prefix(), watcher.position());
                if (!changes.isEmpty() || mClock.now() >= watcher.deadline()) {
                    it.remove();
                    reply(watcher.exchange(), OK, new ChangesBody(position, changes));
                }
            }
        }
    }

    private void reply(HttpServerExchange exchange, int status, Object body) {
        if (mFault == StoreFault.LOSE_ANSWERS || mFault == StoreFault.DOWN) {
            IoUtils.safeClose(exchange.getConnection());
        } else {
            HttpExchanges.sendJson(exchange, status, body);
        }
    }

    private static String key(HttpServerExchange exchange) {
        return exchange.getRelativePath().substring("/v1/values/".length());
    }

    private static Optional<Long> number(HttpServerExchange exchange, String name) {
        return parameter(exchange, name).map(Long::parseLong);
    }

    private static Optional<String> parameter(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::peekFirst);
    }
}
