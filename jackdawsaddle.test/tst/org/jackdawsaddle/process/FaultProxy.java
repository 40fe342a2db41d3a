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

/** TCP proxy between two processes that can stall, delay or cut their connections. */
final class FaultProxy {
    private static final int BUFFER_BYTES = 65_536;
    private static final long POLL_INTERVAL_MILLIS = 10;

    private final InetSocketAddress mListenAddress;
    private final InetSocketAddress mForwardAddress;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private volatile boolean mStallRequests;
    private volatile boolean mStallResponses;
    private volatile boolean mRefuseConnections;
    private volatile long mDelayMillis;
    private ServerSocket mServerSocket;

    FaultProxy(String listen, String forward) {
        mListenAddress = Addresses.parse(listen);
        mForwardAddress = Addresses.parse(forward);
    }

    void start() {
        try {
            mServerSocket = new ServerSocket();
            mServerSocket.setReuseAddress(true);
            mServerSocket.bind(mListenAddress);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Thread.ofVirtual().start(this::accept);
    }

    void stop() {
        mRefuseConnections = true;
        closeAll();
        close(mServerSocket);
    }

    /** Holds back all data in the given directions until called again. */
    void stall(boolean requests, boolean responses) {
        mStallRequests = requests;
        mStallResponses = responses;
    }

    /** Delays each chunk of data by the given time, in both directions. */
    void setDelay(long millis) {
        mDelayMillis = millis;
    }

    /**
     * Closes all connections.
     *
     * @param refuse whether new connections are closed at once, until called again
     */
    void disconnect(boolean refuse) {
        mRefuseConnections = refuse;
        closeAll();
    }

    private void accept() {
        while (!mServerSocket.isClosed()) {
            try {
                Socket from = mServerSocket.accept();
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
