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
    static final int PORT = Deployment.INTERNAL_PORT + 1;

    private static final class Link {
        volatile boolean silent;
    }

    private final List<Link> mLinks = new CopyOnWriteArrayList<>();
    private final String mTarget;
    private final boolean mTranslating;

    private Proxy(String address, String target, boolean translating) throws IOException {
        mTarget = target;
        mTranslating = translating;
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

    /** Returns a proxy before an entry, at the next port of its address. */
    static Proxy beforeEntry(String ip) throws IOException {
        return new Proxy(ip + ":" + PORT, ip + ":" + Deployment.INTERNAL_PORT, true);
    }

    /** Returns a proxy between two addresses. */
    static Proxy between(String address, String target) throws IOException {
        return new Proxy(address, target, false);
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
        Thread.ofVirtual().start(() -> pump(client, target, link, false));
        Thread.ofVirtual().start(() -> pump(target, client, link, mTranslating));
    }

    private void pump(Socket from, Socket to, Link link, boolean translate) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (link.silent) {
                    continue;
                }
                if (translate) {
                    translate(buffer, n);
                }
                out.write(buffer, 0, n);
            }
        } catch (IOException e) {
            // One side has closed the channel.
        }
        if (!link.silent) {
            close(from);
            close(to);
        }
    }

    private static void translate(byte[] buffer, int length) {
        byte[] own = (":" + Deployment.INTERNAL_PORT).getBytes(StandardCharsets.US_ASCII);
        byte[] other = (":" + PORT).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i + own.length <= length; i++) {
            int k = 0;
            while (k < own.length && buffer[i + k] == own[k]) {
                k++;
            }
            if (k == own.length) {
                System.arraycopy(other, 0, buffer, i, other.length);
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
