package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: keys, ranges, watches and transactions without leases. */
final class StoreStub implements AutoCloseable {
    private final HttpServer mServer;
    private final TreeMap<String, Map<String, Object>> mItems = new TreeMap<>();
    private final List<Map<String, Object>> mEvents = new ArrayList<>();
    private long mRevision = 10;

    StoreStub(String address) throws IOException {
        mServer = Http.serve(address, this::handle);
    }

    synchronized void put(String key, byte[] value) {
        mRevision++;
        Map<String, Object> item = new LinkedHashMap<>();
        item.put("key", key);
        item.put("value", Base64.getEncoder().encodeToString(value));
        item.put("revision", mRevision);
        item.put("created", mItems.containsKey(key) ? mItems.get(key).get("created") : mRevision);
        item.put("lease", 0);
        mItems.put(key, item);
        mEvents.add(item);
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        switch (exchange.getRequestURI().getPath()) {
            case "/kv-key" -> key(exchange, query.get("key"));
            case "/kv-range" -> range(exchange, query.get("prefix"));
            case "/kv-watch" -> watch(exchange, query);
            case "/kv-txn" -> transaction(exchange, Json.read(body));
            default -> Http.reply(exchange, 404, Map.of());
        }
    }

    private void key(HttpExchange exchange, String key) throws IOException {
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            answer.putAll(mItems.getOrDefault(key, Map.of()));
            answer.put("currentRev", mRevision);
        }
        Http.reply(exchange, answer.containsKey("key") ? 200 : 404, answer);
    }

    private void range(HttpExchange exchange, String prefix) throws IOException {
        List<Map<String, Object>> items;
        long revision;
        synchronized (this) {
            items =
                    mItems.values().stream()
                            .filter(item -> ((String) item.get("key")).startsWith(prefix))
                            .toList();
            revision = mRevision;
        }
        Http.reply(
                exchange, 200, Map.of("items", items, "hasMore", false, "currentRev", revision));
    }

    private void watch(HttpExchange exchange, Map<String, String> query) throws IOException {
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long deadline = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        List<Map<String, Object>> events;
        long revision;
        synchronized (this) {
            events = events(prefix, after);
            while (events.isEmpty() && System.nanoTime() < deadline) {
                try {
                    wait(20);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
                events = events(prefix, after);
            }
            revision = mRevision;
        }
        Http.reply(exchange, 200, Map.of("events", events, "currentRev", revision));
    }

    private List<Map<String, Object>> events(String prefix, long after) {
        return mEvents.stream()
                .filter(event -> ((String) event.get("key")).startsWith(prefix))
                .filter(event -> (long) event.get("revision") > after)
                .toList();
    }

    private void transaction(HttpExchange exchange, JsonNode body) throws IOException {
        long revision;
        synchronized (this) {
            for (JsonNode row : body.path("puts")) {
                put(
                        row.get("key").asText(),
                        Base64.getDecoder().decode(row.get("value").asText()));
            }
            revision = mRevision;
        }
        Http.reply(exchange, 200, Map.of("revision", revision));
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int equals = pair.indexOf('=');
            query.put(
                    pair.substring(0, equals),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    @Override
    public void close() {
        mServer.stop(0);
    }
}
