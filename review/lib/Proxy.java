import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Stands in the path of the channels that sidecars open to one entry. An entry tells its own address
 * to all that connect to it; the proxy puts its own port in its place, as a translator of addresses
 * does, so that all sidecars stay behind it. It can make the open channels go silent for good.
 */
final class Proxy {
    static final int PORT = Deployment.INTERNAL_PORT + 1;

    private static final class Link {
        volatile boolean silent;
    }

    private final List<Link> mLinks = new CopyOnWriteArrayList<>();

    Proxy(String ip) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(Http.address(ip + ":" + PORT), 64);
        Thread.ofVirtual().start(() -> {
            while (true) {
                try {
                    open(server.accept(), ip);
                } catch (IOException e) {
                    // The entry is not up yet: the channel is closed, and the sidecar tries again.
                }
            }
        });
    }

    /** Makes the channels that are open now silent, without a reset; new ones work. */
    void silence() {
        mLinks.forEach(link -> link.silent = true);
        mLinks.clear();
    }

    private void open(Socket client, String ip) throws IOException {
        Socket entry = new Socket();
        try {
            entry.connect(Http.address(ip + ":" + Deployment.INTERNAL_PORT), 1_000);
        } catch (IOException e) {
            client.close();
            throw e;
        }
        client.setTcpNoDelay(true);
        entry.setTcpNoDelay(true);
        Link link = new Link();
        mLinks.add(link);
        Thread.ofVirtual().start(() -> pump(client, entry, link, false));
        Thread.ofVirtual().start(() -> pump(entry, client, link, true));
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
