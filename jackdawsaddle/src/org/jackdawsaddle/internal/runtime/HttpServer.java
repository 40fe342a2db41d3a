package org.jackdawsaddle.internal.runtime;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import java.util.List;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;

/** An HTTP server that waits for the requests in progress before it stops, for a limited time. */
public final class HttpServer implements ManagedService {
    private static final int BUFFER_BYTES = 4_096;

    private final List<String> mAddresses;
    private final RequestTracker mTracker;
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
        mAddresses = List.copyOf(addresses);
        mTracker = new RequestTracker(handler);
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
                        .setHandler(mTracker)
                        .build();
    }

    @Override
    public void start() {
        mUndertow.start();
    }

    /** Refuses requests from now on; those in progress continue. */
    public void refuseRequests() {
        mTracker.refuseRequests();
    }

    /** Returns whether no request is in progress. */
    public boolean idle() {
        return mTracker.requestsInProgress() == 0;
    }

    @Override
    public void stop() {
        refuseRequests();
        if (!mTracker.awaitIdle(mDrainMillis)) {
            EventLog.line(Event.REQUESTS_CUT)
                    .with("addresses", mAddresses)
                    .with("requests", mTracker.requestsInProgress())
                    .write();
        }
        mUndertow.stop();
    }
}
