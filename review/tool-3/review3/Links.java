package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Proxies between sidecars and entries, which can cut a sidecar off from some entries or from all:
 * what is on its way meanwhile is delivered when the cut has healed. An entry tells a sidecar the
 * addresses of all entries; the proxies replace them by those of the sidecar's proxies, which are
 * as long.
 *
 * <p>Entries have addresses 127.X.100.N; the proxies of sidecar S have 127.X.(120+S).N.
 */
final class Links implements AutoCloseable {
    static final int ENTRY_OCTET = 100;
    private static final int FIRST_SIDECAR_OCTET = 120;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int BUFFER_BYTES = 65_536;

    private final String mNetwork;
    private final int mPort;
    private final boolean[][] mCut;
    private final List<ServerSocket> mServers = new ArrayList<>();

    /**
     * Starts the proxies.
     *
     * @param network the first two octets of the addresses
     * @param port where entries listen for sidecars
     */
    Links(String network, int port, int sidecars, int entries) throws IOException {
        mNetwork = network;
        mPort = port;
        mCut = new boolean[sidecars][entries];
        for (int sidecar = 0; sidecar < sidecars; sidecar++) {
            for (int entry = 0; entry < entries; entry++) {
                listen(sidecar, entry);
            }
        }
    }

    /** Returns the host at which a sidecar finds an entry. */
    String host(int sidecar, int entry) {
        return mNetwork + "." + (FIRST_SIDECAR_OCTET + sidecar) + "." + (1 + entry);
    }

    synchronized void cut(int sidecar, int entry) {
        mCut[sidecar][entry] = true;
    }

    synchronized void heal(int sidecar, int entry) {
        mCut[sidecar][entry] = false;
        notifyAll();
    }

    private synchronized void awaitHealed(int sidecar, int entry) throws IOException {
        while (mCut[sidecar][entry]) {
            try {
                wait();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }

    private void listen(int sidecar, int entry) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(host(sidecar, entry), mPort));
        mServers.add(server);
        Thread.ofVirtual().start(() -> {
            while (!server.isClosed()) {
                try {
                    Socket inner = server.accept();
                    Thread.ofVirtual().start(() -> serve(sidecar, entry, inner));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private void serve(int sidecar, int entry, Socket inner) {
        Socket outer = new Socket();
        try {
            awaitHealed(sidecar, entry);
            String host = mNetwork + "." + ENTRY_OCTET + "." + (1 + entry);
            outer.connect(new InetSocketAddress(host, mPort), CONNECT_TIMEOUT_MILLIS);
            inner.setTcpNoDelay(true);
            outer.setTcpNoDelay(true);
            Thread.ofVirtual().start(() -> pump(sidecar, entry, inner, outer, false));
            pump(sidecar, entry, outer, inner, true);
        } catch (IOException e) {
            close(inner);
            close(outer);
        }
    }

    private void pump(int sidecar, int entry, Socket from, Socket to, boolean fromEntry) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitHealed(sidecar, entry);
                if (fromEntry) {
                    rewrite(buffer, count, sidecar);
                }
                out.write(buffer, 0, count);
            }
            awaitHealed(sidecar, entry);
        } catch (IOException e) {
            // The other side is closed below as well.
        }
        close(from);
        close(to);
    }

    private void rewrite(byte[] buffer, int count, int sidecar) {
        byte[] from = (mNetwork + "." + ENTRY_OCTET + ".").getBytes(StandardCharsets.US_ASCII);
        byte[] to =
                (mNetwork + "." + (FIRST_SIDECAR_OCTET + sidecar) + ".")
                        .getBytes(StandardCharsets.US_ASCII);
        for (int start = 0; start + from.length <= count; start++) {
            int same = 0;
            while (same < from.length && buffer[start + same] == from[same]) {
                same++;
            }
            if (same == from.length) {
                System.arraycopy(to, 0, buffer, start, to.length);
            }
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : mServers) {
            server.close();
        }
    }
}
