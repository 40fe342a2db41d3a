package org.jackdawsaddle.internal.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
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
    private final HttpServerConnection mConnection;
    private final StreamSourceConduit mSource;
    private final CompletableFuture<Void> mDisconnected = new CompletableFuture<>();

    private ClientDisconnects(HttpServerConnection connection) {
        mConnection = connection;
        mSource = connection.getOriginalSourceConduit();
    }

    /**
     * Watches the connection of a request whose body has been read, until the response is complete.
     * A connection on which the client has already sent more is not watched: its next request would
     * have to be read to get at the end of the connection.
     *
     * @return completes once the client has closed or reset the connection; is complete already if
     *     it did so before its request was read. A client that closes only its sending side, which
     *     HTTP clients do not, counts as gone.
     */
    static CompletableFuture<Void> watch(HttpServerExchange exchange) {
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)
                || connection.getExtraBytes() != null) {
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
            mSource.suspendReads();
            pooled.getBuffer().flip();
            mConnection.ungetRequestBytes(pooled);
            return;
        }
        pooled.close();
        if (count < 0) {
            onDisconnected();
        }
    }

    private void onDisconnected() {
        mSource.suspendReads();
        mDisconnected.complete(null);
    }
}
