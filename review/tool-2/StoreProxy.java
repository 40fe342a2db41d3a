import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Relays channels to the store. Those that are open can be made silent; new ones work. */
final class StoreProxy {
    private final ServerSocket mServer;
    private final InetSocketAddress mTarget;

    /** The channels that were opened while this had a lower value are silent. */
    private volatile int mGeneration;

    StoreProxy(String ip, String targetIp, int port) throws IOException {
        mServer = new ServerSocket(port, 200, InetAddress.getByName(ip));
        mTarget = new InetSocketAddress(targetIp, port);
        Thread.ofVirtual().start(this::accept);
    }

    /** Makes all open channels silent for good, without a reset. */
    void silenceOpenChannels() {
        mGeneration++;
    }

    void stop() throws IOException {
        mServer.close();
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket client = mServer.accept();
                Socket store = new Socket();
                store.connect(mTarget);
                client.setTcpNoDelay(true);
                store.setTcpNoDelay(true);
                int generation = mGeneration;
                Thread.ofVirtual().start(() -> relay(client, store, generation));
                Thread.ofVirtual().start(() -> relay(store, client, generation));
            } catch (IOException e) {
                continue;
            }
        }
    }

    private void relay(Socket from, Socket to, int generation) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count > 0; count = in.read(buffer)) {
                if (generation == mGeneration) {
                    out.write(buffer, 0, count);
                }
            }
            if (generation == mGeneration) {
                to.close();
            }
        } catch (IOException e) {
            closeUnlessSilent(to, generation);
        }
    }

    private void closeUnlessSilent(Socket socket, int generation) {
        try {
            if (generation == mGeneration) {
                socket.close();
            }
        } catch (IOException e) {
            return;
        }
    }
}
