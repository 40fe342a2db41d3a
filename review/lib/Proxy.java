import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Stands in the path of the channels from one sidecar to one entry, and can make those that are open
 * go silent for good.
 *
 * <p>It also translates addresses: an entry tells its own address to all that connect
 * to it, and the proxy puts its own port in its place, so that all sidecars stay behind it.
 */
final class Proxy {
    private static final class Link {
        volatile boolean silent;
    }

    private final List<Link> mLinks = new CopyOnWriteArrayList<>();
    private final String mTarget;
    private final byte[] mTranslatedPort;

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
                if (link.silent) {
                    continue;
                }
                if (!towardsTarget) {
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
