package org.jackdawsaddle.standin.platform;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.internal.http.HttpExchanges;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.runtime.HttpServer;
import org.jackdawsaddle.internal.runtime.UnixClock;

/**
 * In-memory stand-in for the key-value store that the roles in {@code org.jackdawsaddle.platform}
 * use, limited to their requests, with faults that can be switched on.
 */
public final class KvStandIn implements ManagedService {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int HISTORY_COMPACTED = 410;
    private static final int UNAVAILABLE = 503;
    private static final long MAX_BODY_BYTES = 1_048_576;
    private static final long WATCH_CHECK_INTERVAL_MILLIS = 5;

    /** The faults of the store; pending watches are answered as without a fault. */
    public enum Fault {
        /** It works normally. */
        NONE,
        /** It rejects every new request with status 503. */
        REJECTING,
        /** It never responds to a new request. */
        UNRESPONSIVE
    }

    /**
     * A key with its value.
     *
     * @param value the value, in base 64
     * @param revision the revision of the store at which the key was last written
     * @param created equal to {@code revision}, also after a second write
     * @param lease 0 for no lease
     */
    private record Item(String key, String value, long revision, long created, long lease) {}

    private record ReadBody(
            String key, String value, long revision, long created, long lease, long currentRev) {}

    private record AbsentBody(long currentRev) {}

    private record ChangesBody(List<Object> events, long currentRev) {}

    private record PutBody(String key, String value, long lease) {}

    private record TransactionBody(
            List<Object> precondition, List<PutBody> puts, List<String> deletes) {}

    private record ItemsBody(List<Item> items, boolean hasMore, long currentRev) {}

    /** A change: a key as it was written, or its deletion. */
    private record Deletion(String key, long revision, boolean deleted) {}

    private record WrittenBody(long revision) {}

    /**
     * A pending watch.
     *
     * @param afterRevision only changes after this revision of the store are returned
     * @param deadline when it is answered without changes, in milliseconds since the epoch
     */
    private record Watcher(
            HttpServerExchange exchange, String prefix, long afterRevision, long deadline) {}

    private final UnixClock mClock;
    private final HttpServer mServer;
    private final Map<String, Item> mItems = new HashMap<>();
    private final Map<String, Deletion> mDeletions = new HashMap<>();
    private final List<Watcher> mWatchers = new ArrayList<>();
    private final ScheduledExecutorService mTimer =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().daemon().name("kv-timer").factory());
    private Fault mFault = Fault.NONE;
    private long mRevision = 1;
    private long mCompactedRevision;

    /**
     * Creates an empty store that is not running.
     *
     * @param address where it listens, as host:port
     */
    public KvStandIn(String address, UnixClock clock) {
        mClock = clock;
        RoutingHandler routes = new RoutingHandler();
        routes.get("/kv-key", exchange -> withFault(exchange, this::read));
        routes.get("/kv-range", exchange -> withFault(exchange, this::list));
        routes.get("/kv-watch", exchange -> withFault(exchange, this::watch));
        routes.post("/kv-txn", exchange -> withFault(exchange, this::write));
        mServer = new HttpServer(address, 1, MAX_BODY_BYTES, 0, routes);
    }

    @Override
    public void start() {
        mServer.start();
        mTimer.scheduleWithFixedDelay(
                this::answerWatchers, 0, WATCH_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        mTimer.shutdownNow();
        mServer.stop();
    }

    /** Sets the fault, which lasts until the next call. */
    public synchronized void setFault(Fault fault) {
        mFault = fault;
    }

    /** Writes a key without a lease, as an operator does; each write has a revision of its own. */
    public synchronized void put(String key, String text) {
        mRevision++;
        String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        mItems.put(key, new Item(key, value, mRevision, mRevision, 0));
        mDeletions.remove(key);
    }

    /** Deletes a key, as an operator does. */
    public synchronized void delete(String key) {
        mRevision++;
        mItems.remove(key);
        mDeletions.put(key, new Deletion(key, mRevision, true));
    }

    /**
     * Compacts all history: watches from before the newest revision are answered with status 410.
     */
    public synchronized void compactHistory() {
        mCompactedRevision = mRevision;
    }

    private interface Handler {
        void handle(HttpServerExchange exchange);
    }

    private synchronized void withFault(HttpServerExchange exchange, Handler handler) {
        switch (mFault) {
            case NONE -> handler.handle(exchange);
            case REJECTING -> HttpExchanges.sendJson(exchange, UNAVAILABLE, "{}");
            case UNRESPONSIVE -> HttpExchanges.dispatch(exchange, () -> {});
        }
    }

    private void read(HttpServerExchange exchange) {
        Item item = mItems.get(parameter(exchange, "key"));
        if (item == null) {
            HttpExchanges.sendJson(exchange, NOT_FOUND, new AbsentBody(mRevision));
            return;
        }
        HttpExchanges.sendJson(
                exchange,
                OK,
                new ReadBody(
                        item.key(),
                        item.value(),
                        item.revision(),
                        item.created(),
                        item.lease(),
                        mRevision));
    }

    /** Returns all keys under a prefix as one page. */
    private void list(HttpServerExchange exchange) {
        String prefix = parameter(exchange, "prefix");
        List<Item> items =
                mItems.values().stream().filter(item -> item.key().startsWith(prefix)).toList();
        HttpExchanges.sendJson(exchange, OK, new ItemsBody(items, false, mRevision));
    }

    /** Executes the puts of a transaction; preconditions and deletes are ignored. */
    private void write(HttpServerExchange exchange) {
        HttpExchanges.receiveBody(
                exchange,
                body -> {
                    for (PutBody put : Json.read(body, TransactionBody.class).puts()) {
                        byte[] bytes = Base64.getDecoder().decode(put.value());
                        put(put.key(), new String(bytes, StandardCharsets.UTF_8));
                    }
                    HttpExchanges.sendJson(exchange, OK, new WrittenBody(mRevision));
                });
    }

    private void watch(HttpServerExchange exchange) {
        long wait = Long.parseLong(parameter(exchange, "waitMs"));
        Watcher watcher =
                new Watcher(
                        exchange,
                        parameter(exchange, "prefix"),
                        Long.parseLong(parameter(exchange, "after")),
                        mClock.now() + wait);
        HttpExchanges.dispatch(exchange, () -> mWatchers.add(watcher));
    }

    private synchronized void answerWatchers() {
        for (Watcher watcher : List.copyOf(mWatchers)) {
            List<Object> events = new ArrayList<>();
            mItems.values().stream()
                    .filter(item -> item.key().startsWith(watcher.prefix()))
                    .filter(item -> item.revision() > watcher.afterRevision())
                    .forEach(events::add);
            mDeletions.values().stream()
                    .filter(deletion -> deletion.key().startsWith(watcher.prefix()))
                    .filter(deletion -> deletion.revision() > watcher.afterRevision())
                    .forEach(events::add);
            if (watcher.afterRevision() < mCompactedRevision) {
                mWatchers.remove(watcher);
                HttpExchanges.sendJson(watcher.exchange(), HISTORY_COMPACTED, "{}");
            } else if (!events.isEmpty() || mClock.now() >= watcher.deadline()) {
                mWatchers.remove(watcher);
                HttpExchanges.sendJson(watcher.exchange(), OK, new ChangesBody(events, mRevision));
            }
        }
    }

    private static String parameter(HttpServerExchange exchange, String name) {
        return exchange.getQueryParameters().get(name).getFirst();
    }
}
