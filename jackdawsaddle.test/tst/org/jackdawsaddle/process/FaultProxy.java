package org.jackdawsaddle.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jackdawsaddle.internal.runtime.Addresses;

/**
 * TCP proxy between two processes that can stall, delay, close or refuse their connections.
 * Requests are the data of the process that opened the connection, responses those of the other
 * one.
 */
final class FaultProxy {
    private static final int BUFFER_BYTES = 65_536;
    private static final long POLL_INTERVAL_MILLIS = 10;

    private final InetSocketAddress mListenAddress;
    private final InetSocketAddress mForwardAddress;
    private final AddressRewriter mResponseRewriter;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private volatile boolean mStallRequests;
    private volatile boolean mStallResponses;
    private volatile boolean mRefuseConnections;
    private volatile long mDelayMillis;
    private volatile ServerSocket mServerSocket;

    /**
     * Creates a proxy that is not running.
     *
     * @param listen where the proxy listens, as host:port
     * @param forward the server that it connects to, as host:port
     */
    FaultProxy(String listen, String forward) {
        this(listen, forward, new AddressRewriter());
    }

    /**
     * Creates a proxy that is not running.
     *
     * @param responseRewriter replaces addresses in the responses
     */
    FaultProxy(String listen, String forward, AddressRewriter responseRewriter) {
        mResponseRewriter = responseRewriter;
        mListenAddress = Addresses.parse(listen);
        mForwardAddress = Addresses.parse(forward);
    }

    void start() {
        listen();
    }

    /** Accepts connections, at first or again after {@link #stopListening}. */
    void listen() {
        try {
            ServerSocket serverSocket = new ServerSocket();
            serverSocket.setReuseAddress(true);
            serverSocket.bind(mListenAddress);
            mServerSocket = serverSocket;
            Thread.ofVirtual().start(() -> accept(serverSocket));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Closes all connections and the listening socket: until {@link #listen} the kernel refuses new
     * connections, as if no process used the address.
     */
    void stopListening() {
        close(mServerSocket);
        closeAll();
    }

    void stop() {
        mRefuseConnections = true;
        closeAll();
        close(mServerSocket);
    }

    /** Sets in which directions data is held back. */
    void stall(boolean requests, boolean responses) {
        mStallRequests = requests;
        mStallResponses = responses;
    }

    /**
     * Sets the delay of each chunk of data, in both directions.
     *
     * @param millis the delay in milliseconds; 0 for none
     */
    void setDelay(long millis) {
        mDelayMillis = millis;
    }

    /**
     * Closes all connections.
     *
     * @param refuse whether new connections are closed immediately, until the next call
     */
    void disconnect(boolean refuse) {
        mRefuseConnections = refuse;
        closeAll();
    }

    private void accept(ServerSocket serverSocket) {
        while (!serverSocket.isClosed()) {
            try {
                Socket from = serverSocket.accept();
                if (mRefuseConnections) {
                    from.close();
                    continue;
                }
                connect(from);
            } catch (IOException e) {
                continue;
            }
        }
    }

    private void connect(Socket from) throws IOException {
        mSockets.add(from);
        Socket to = new Socket();
        try {
            to.connect(mForwardAddress);
        } catch (IOException e) {
            from.close();
            return;
        }
        mSockets.add(to);
        Thread.ofVirtual().start(() -> copy(from, to, true));
        Thread.ofVirtual().start(() -> copy(to, from, false));
    }

    private void copy(Socket from, Socket to, boolean requests) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream()) {
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                while (requests ? mStallRequests : mStallResponses) {
                    ProcessFleet.sleep(POLL_INTERVAL_MILLIS);
                }
                if (mDelayMillis > 0) {
                    ProcessFleet.sleep(mDelayMillis);
                }
                if (!requests) {
                    mResponseRewriter.rewrite(buffer, read);
                }
                out.write(buffer, 0, read);
                out.flush();
            }
        } catch (IOException e) {
            close(to);
        }
        close(from);
        close(to);
        mSockets.remove(from);
        mSockets.remove(to);
    }

    private void closeAll() {
        mSockets.forEach(FaultProxy::close);
    }

    private static void close(AutoCloseable socket) {
        try {
            socket.close();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
