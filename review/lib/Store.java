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

/** Stand-in of the platform's metadata store: keys, watches and transactions; no leases. */
final class Store {
    private final Map<String, Map<String, Object>> mItems = new TreeMap<>();
    private long mRevision = 1;

    Store(String address) throws IOException {
        Http.serve(address, (exchange, body) -> {
            String path = exchange.getRequestURI().getPath();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            return switch (path) {
                case "/kv-key" -> read(query.get("key"));
                case "/kv-range" -> range(query.get("prefix"));
                case "/kv-watch" ->
                        watch(
                                query.get("prefix"),
                                Long.parseLong(query.get("after")),
                                Long.parseLong(query.get("waitMs")));
                case "/kv-txn" -> transaction(Json.readObject(body));
                default -> new Http.Reply(404, "{}");
            };
        });
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String part : text == null ? new String[0] : text.split("&")) {
            String[] pair = part.split("=", 2);
            query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    /** Writes a key, as the operator does. */
    synchronized void put(String key, String text) {
        put(key, text.getBytes(StandardCharsets.UTF_8));
        notifyAll();
    }

    private void put(String key, byte[] value) {
        mRevision++;
        Map<String, Object> item = new LinkedHashMap<>();
        Map<String, Object> old = mItems.get(key);
        item.put("key", key);
        item.put("value", Base64.getEncoder().encodeToString(value));
        item.put("revision", mRevision);
        item.put("created", old == null ? mRevision : old.get("created"));
        item.put("lease", 0L);
        mItems.put(key, item);
    }

    private synchronized Http.Reply read(String key) {
        Map<String, Object> body = new LinkedHashMap<>();
        Map<String, Object> item = mItems.get(key);
        if (item != null) {
            body.putAll(item);
        }
        body.put("currentRev", mRevision);
        return new Http.Reply(item == null ? 404 : 200, Json.write(body));
    }

    private synchronized Http.Reply range(String prefix) {
        return new Http.Reply(
                200,
                Json.write(
                        Map.of(
                                "items", changed(prefix, 0),
                                "hasMore", false,
                                "currentRev", mRevision)));
    }

    private synchronized Http.Reply watch(String prefix, long after, long waitMillis)
            throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        List<Object> events = changed(prefix, after);
        while (events.isEmpty() && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            events = changed(prefix, after);
        }
        return new Http.Reply(200, Json.write(Map.of("events", events, "currentRev", mRevision)));
    }

    private List<Object> changed(String prefix, long after) {
        List<Object> changed = new ArrayList<>();
        for (Map<String, Object> item : mItems.values()) {
            boolean newer = (Long) item.get("revision") > after;
            if (newer && item.get("key").toString().startsWith(prefix)) {
                changed.add(item);
            }
        }
        return changed;
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Reply transaction(Map<String, Object> body) {
        for (Object row : (List<Object>) body.getOrDefault("precondition", List.of())) {
            Map<String, Object> condition = (Map<String, Object>) row;
            Map<String, Object> item = mItems.get(condition.get("key"));
            long revision = item == null ? 0 : (Long) item.get("revision");
            if (revision != (Long) condition.get("revision")) {
                return new Http.Reply(412, "{\"items\":[]}");
            }
        }
        for (Object row : (List<Object>) body.getOrDefault("puts", List.of())) {
            Map<String, Object> write = (Map<String, Object>) row;
            put(write.get("key").toString(),
                    Base64.getDecoder().decode(write.get("value").toString()));
        }
        for (Object key : (List<Object>) body.getOrDefault("deletes", List.of())) {
            mRevision++;
            mItems.remove(key);
        }
        notifyAll();
        return new Http.Reply(200, Json.write(Map.of("revision", mRevision)));
    }
}
