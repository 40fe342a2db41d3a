package org.jackdawsaddle.internal.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.ImmediatePooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a client has closed or reset its connection while its request awaits the response.
 * Undertow reads nothing from a connection meanwhile, and would learn of it only from the response.
 *
 * <p>All methods must be called on the I/O thread of the connection.
 */
final class ClientDisconnects {
    /** How much of further requests is kept on a connection while one awaits its response. */
    private static final int MAX_KEPT_BYTES = 65_536;

    /** The server reads the rest of a kept request into the same buffer. */
    private static final int MIN_BUFFER_BYTES = 4_096;

    private final HttpServerConnection mConnection;
    private final StreamSourceConduit mSource;
    private final CompletableFuture<Void> mDisconnected = new CompletableFuture<>();

    private ClientDisconnects(HttpServerConnection connection) {
        mConnection = connection;
        mSource = connection.getOriginalSourceConduit();
    }

    /**
     * Watches the connection of a request whose body has been read, until the response is complete.
     * Further requests that the client sends meanwhile are kept for the server; the watch ends once
     * they take more than {@link #MAX_KEPT_BYTES}.
     *
     * @return completes once the client has closed or reset the connection; is complete already if
     *     it did so before its request was read. A client that closes only its sending side, which
     *     HTTP clients do not, counts as gone.
     */
    static CompletableFuture<Void> watch(HttpServerExchange exchange) {
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
            return new CompletableFuture<>();
        }
        ClientDisconnects watch = new ClientDisconnects(connection);
        // The listener of the connection takes its place again once the exchange is complete.
        ConduitStreamSourceChannel channel = connection.getChannel().getSourceChannel();
        channel.getReadSetter().set(ignored -> watch.read());
        watch.mSource.resumeReads();
        watch.read();
        return watch.mDisconnected;
    }

    private void read() {
        PooledByteBuffer pooled = mConnection.getByteBufferPool().allocate();
        try {
            onRead(mSource.read(pooled.getBuffer()), pooled);
        } catch (IOException e) {
            // The connection was reset; whoever watches logs what follows from it.
            pooled.close();
            onDisconnected();
        }
    }

    private void onRead(int count, PooledByteBuffer pooled) {
        if (count > 0) {
            pooled.getBuffer().flip();
            keep(pooled);
            return;
        }
        pooled.close();
        if (count < 0) {
            onDisconnected();
        }
    }

    /** Keeps bytes of further requests, after those that are kept already. */
    private void keep(PooledByteBuffer received) {
        PooledByteBuffer kept = mConnection.getExtraBytes();
        mConnection.setExtraBytes(kept == null ? received : join(kept, received));
        if (mConnection.getExtraBytes().getBuffer().remaining() > MAX_KEPT_BYTES) {
            mSource.suspendReads();
        }
    }

    private static PooledByteBuffer join(PooledByteBuffer first, PooledByteBuffer second) {
        try (first;
                second) {
            int bytes = first.getBuffer().remaining() + second.getBuffer().remaining();
            ByteBuffer joined = ByteBuffer.allocate(Math.max(bytes, MIN_BUFFER_BYTES));
            joined.put(first.getBuffer()).put(second.getBuffer()).flip();
            return new ImmediatePooledByteBuffer(joined);
        }
    }

    private void onDisconnected() {
        mSource.suspendReads();
        mDisconnected.complete(null);
    }
}
