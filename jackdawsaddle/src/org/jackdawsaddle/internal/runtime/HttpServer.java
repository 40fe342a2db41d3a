package org.jackdawsaddle.internal.runtime;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.GracefulShutdownHandler;
import java.net.InetSocketAddress;
import java.util.List;
import org.jackdawsaddle.ManagedService;

/** An HTTP server that waits for the requests in progress before it stops, for a limited time. */
public final class HttpServer implements ManagedService {
    private static final int BUFFER_BYTES = 4_096;

    private final GracefulShutdownHandler mHandler;
    private final Undertow mUndertow;
    private final long mDrainMillis;

    /**
     * Creates a server for one address.
     *
     * @param address the address to listen on, as host:port
     * @param ioThreads the number of I/O threads
     * @param maxBodyBytes the maximum size of a request body
     * @param drainMillis the longest time that {@link #stop} waits for requests in progress
     */
    public HttpServer(
            String address,
            int ioThreads,
            long maxBodyBytes,
            long drainMillis,
            HttpHandler handler) {
        this(List.of(address), ioThreads, maxBodyBytes, drainMillis, handler);
    }

    /** Creates a server for several addresses, which share threads, limits and handler. */
    public HttpServer(
            List<String> addresses,
            int ioThreads,
            long maxBodyBytes,
            long drainMillis,
            HttpHandler handler) {
        mHandler = new GracefulShutdownHandler(handler);
        mDrainMillis = drainMillis;
        Undertow.Builder builder = Undertow.builder();
        for (String address : addresses) {
            InetSocketAddress parsed = Addresses.parse(address);
            builder.addHttpListener(parsed.getPort(), parsed.getHostString());
        }
        mUndertow =
                builder.setIoThreads(ioThreads)
                        .setWorkerThreads(1)
                        .setBufferSize(BUFFER_BYTES)
                        .setDirectBuffers(false)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, maxBodyBytes)
                        .setHandler(mHandler)
                        .build();
    }

    @Override
    public void start() {
        mUndertow.start();
    }

    @Override
    public void stop() {
        mHandler.shutdown();
        try {
            mHandler.awaitShutdown(mDrainMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mUndertow.stop();
    }
}
