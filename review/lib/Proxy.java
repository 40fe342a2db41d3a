import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Stands in the path of channels, and can make those that are open go silent for good.
 *
 * <p>Before an entry it also translates addresses: an entry tells its own address to all that connect
 * to it, and the proxy puts its own port in its place, so that all sidecars stay behind it.
 */
final class Proxy {
    private static final class Link {
        volatile boolean silent;
    }

    private final List<Link> mLinks = new CopyOnWriteArrayList<>();
    private final String mTarget;
    private final byte[] mTranslatedPort;

    /** Until when bytes towards the target are held up, by System.nanoTime. */
    private volatile long mCutUntilNanos = System.nanoTime();

    private Proxy(String address, String target, String translatedPort) throws IOException {
        mTarget = target;
        mTranslatedPort = translatedPort.getBytes(StandardCharsets.US_ASCII);
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(Http.address(address), 64);
        Thread.ofVirtual().start(() -> {
            while (true) {
                try {
                    open(server.accept());
                } catch (IOException e) {
                    // The target is not up yet: the channel is closed, and the sidecar tries again.
                }
            }
        });
    }

    /** Returns a proxy before an entry, for a sidecar that reaches the entries at the given port. */
    static Proxy beforeEntry(String ip, int port) throws IOException {
        String entry = ip + ":" + Deployment.INTERNAL_PORT;
        return new Proxy(ip + ":" + port, entry, ":" + port);
    }

    /** Returns a proxy between two addresses. */
    static Proxy between(String address, String target) throws IOException {
        return new Proxy(address, target, "");
    }

    /** Holds up the bytes towards the target on all channels, new ones included, for a time. */
    void cutTowardsTarget(long millis) {
        mCutUntilNanos = System.nanoTime() + millis * 1_000_000;
    }

    private void awaitCut() throws InterruptedException {
        while (System.nanoTime() - mCutUntilNanos < 0) {
            Thread.sleep(1);
        }
    }

    /** Makes the channels that are open now silent, without a reset; new ones work. */
    void silence() {
        mLinks.forEach(link -> link.silent = true);
        mLinks.clear();
    }

    private void open(Socket client) throws IOException {
        Socket target = new Socket();
        try {
            target.connect(Http.address(mTarget), 1_000);
        } catch (IOException e) {
            client.close();
            throw e;
        }
        client.setTcpNoDelay(true);
        target.setTcpNoDelay(true);
        Link link = new Link();
        mLinks.add(link);
        Thread.ofVirtual().start(() -> pump(client, target, link, true));
        Thread.ofVirtual().start(() -> pump(target, client, link, false));
    }

    private void pump(Socket from, Socket to, Link link, boolean towardsTarget) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (towardsTarget) {
                    awaitCut();
                }
                if (link.silent) {
                    continue;
                }
                if (!towardsTarget && mTranslatedPort.length > 0) {
                    translate(buffer, n);
                }
                out.write(buffer, 0, n);
            }
        } catch (IOException | InterruptedException e) {
            // One side has closed the channel.
        }
        if (!link.silent) {
            close(from);
            close(to);
        }
    }

    private void translate(byte[] buffer, int length) {
        byte[] own = (":" + Deployment.INTERNAL_PORT).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i + own.length <= length; i++) {
            int k = 0;
            while (k < own.length && buffer[i + k] == own[k]) {
                k++;
            }
            if (k == own.length) {
                System.arraycopy(mTranslatedPort, 0, buffer, i, own.length);
            }
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
