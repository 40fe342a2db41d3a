package org.jackdawsaddle.internal.runtime;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.GracefulShutdownHandler;
import java.net.InetSocketAddress;
import org.jackdawsaddle.ManagedService;

/** An HTTP server that finishes the requests in hand before it stops. */
public final class HttpServer implements ManagedService {
    private static final int BUFFER_BYTES = 4_096;

    private final GracefulShutdownHandler mHandler;
    private final Undertow mUndertow;
    private final long mDrainMillis;

    /**
     * Creates a server.
     *
     * @param ioThreads the number of I/O threads
     * @param maxBodyBytes the largest request body
     * @param drainMillis how long a stop waits for requests in hand
     */
    public HttpServer(
            String address,
            int ioThreads,
            long maxBodyBytes,
            long drainMillis,
            HttpHandler handler) {
        InetSocketAddress parsed = Addresses.parse(address);
        mHandler = new GracefulShutdownHandler(handler);
        mDrainMillis = drainMillis;
        mUndertow =
                Undertow.builder()
                        .addHttpListener(parsed.getPort(), parsed.getHostString())
                        .setIoThreads(ioThreads)
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
