import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform's store: keys, watches and unconditional or conditional writes. It never
 * fails, and keeps its whole history.
 */
final class Store {
    private record Item(String key, String encoded, long revision) {}

    private final Map<String, Item> mItems = new TreeMap<>();
    private final HttpServer mServer;
    private long mRevision = 1;

    Store(String ip, int port) throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(ip, port), 0);
        mServer.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        mServer.createContext("/kv-key", this::onKey);
        mServer.createContext("/kv-watch", this::onWatch);
        mServer.createContext("/kv-txn", this::onTransaction);
        mServer.start();
    }

    void stop() {
        mServer.stop(0);
    }

    /** Writes a key as the operator does. */
    synchronized void put(String key, String text) {
        write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
    }

    private synchronized void write(String key, String encoded) {
        mRevision++;
        mItems.put(key, new Item(key, encoded, mRevision));
        notifyAll();
    }

    private static String json(Item item) {
        return "\"key\":\"" + item.key() + "\",\"value\":\"" + item.encoded() + "\",\"revision\":"
                + item.revision() + ",\"created\":" + item.revision() + ",\"lease\":0";
    }

    private void onKey(HttpExchange exchange) throws IOException {
        String key = Http.query(exchange).get("key");
        String body;
        boolean found;
        synchronized (this) {
            Item item = mItems.get(key);
            found = item != null;
            body = "{" + (found ? json(item) + "," : "") + "\"currentRev\":" + mRevision + "}";
        }
        Http.send(exchange, found ? 200 : 404, body);
    }

    private void onWatch(HttpExchange exchange) throws IOException {
        Map<String, String> query = Http.query(exchange);
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        StringBuilder events = new StringBuilder();
        long revision;
        synchronized (this) {
            while (true) {
                for (Item item : mItems.values()) {
                    if (item.key().startsWith(query.get("prefix")) && item.revision() > after) {
                        events.append(events.isEmpty() ? "" : ",").append("{" + json(item) + "}");
                    }
                }
                long leftMillis = (until - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || leftMillis <= 0) {
                    break;
                }
                try {
                    wait(leftMillis);
                } catch (InterruptedException e) {
                    break;
                }
            }
            revision = mRevision;
        }
        Http.send(exchange, 200, "{\"events\":[" + events + "],\"currentRev\":" + revision + "}");
    }

    private void onTransaction(HttpExchange exchange) throws IOException {
        Map<String, Object> body = Json.object(Http.body(exchange));
        synchronized (this) {
            for (Object row : Json.list(body.get("precondition"))) {
                Map<String, Object> condition = Json.object(row);
                Item item = mItems.get((String) condition.get("key"));
                long revision = item == null ? 0 : item.revision();
                if (revision != Json.number(condition.get("revision"))) {
                    Http.send(exchange, 412, "{\"items\":[]}");
                    return;
                }
            }
            for (Object row : Json.list(body.get("puts"))) {
                Map<String, Object> put = Json.object(row);
                write((String) put.get("key"), (String) put.get("value"));
            }
            for (Object key : Json.list(body.get("deletes"))) {
                mItems.remove((String) key);
            }
        }
        Http.send(exchange, 200, "{\"revision\":" + mRevision + "}");
    }
}
