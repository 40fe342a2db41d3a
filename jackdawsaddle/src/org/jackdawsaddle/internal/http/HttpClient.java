package org.jackdawsaddle.internal.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StringReadChannelListener;
import io.undertow.util.StringWriteChannelListener;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;

/**
 * An asynchronous HTTP client on top of Undertow's.
 *
 * <p>Connections are reused, each for one request at a time. Thread-safe once started.
 */
public final class HttpClient implements ManagedService {
    private static final Logger LOG = LogManager.getLogger(HttpClient.class);
    private static final int BUFFER_BYTES = 4_096;
    private static final int MAX_POOLED_BUFFERS = 64;

    private final UnixClock mClock;
    private final int mThreadCount;
    private final DefaultByteBufferPool mBuffers =
            new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
    private final Map<String, Deque<ClientConnection>> mIdleConnections = new ConcurrentHashMap<>();
    private XnioWorker mWorker;

    /**
     * Creates a client that sends requests once started.
     *
     * @param clock the clock of the requests' deadlines
     * @param threadCount the number of I/O threads
     */
    public HttpClient(UnixClock clock, int threadCount) {
        mClock = clock;
        mThreadCount = threadCount;
    }

    @Override
    public void start() {
        OptionMap options =
                OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, mThreadCount)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .set(Options.TCP_NODELAY, true)
                        .getMap();
        try {
            mWorker = Xnio.getInstance().createWorker(options);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void stop() {
        mIdleConnections.values().forEach(connections -> connections.forEach(IoUtils::safeClose));
        mWorker.shutdownNow();
    }

    /**
     * Sends a request.
     *
     * @return the response; fails with {@link ConnectException} if the connection could not be
     *     opened, so that nothing was sent, with {@link TimeoutException} if no response arrived
     *     before the deadline, and with another {@link IOException} if the connection failed later.
     *     In the last two cases the server may have received the request.
     */
    public CompletableFuture<HttpResponse> send(HttpRequest request) {
        PendingRequest pending = new PendingRequest(request);
        Optional<ClientConnection> idleConnection = takeIdleConnection(request.address());
        if (idleConnection.isPresent()) {
            pending.startTimer(idleConnection.get().getIoThread());
            pending.onConnected(idleConnection.get());
        } else {
            pending.startTimer(mWorker.getIoThread());
            URI uri = URI.create("http://" + request.address());
            UndertowClient.getInstance()
                    .connect(
                            callback(pending::onConnected, pending::onConnectFailed),
                            uri,
                            mWorker,
                            mBuffers,
                            OptionMap.EMPTY);
        }
        return pending.mResponse;
    }

    /** Closes the connections to an address that no request uses. */
    public void closeIdleConnections(String address) {
        Deque<ClientConnection> idleConnections = mIdleConnections.remove(address);
        if (idleConnections != null) {
            idleConnections.forEach(IoUtils::safeClose);
        }
    }

    private Optional<ClientConnection> takeIdleConnection(String address) {
        Deque<ClientConnection> idleConnections = mIdleConnections.get(address);
        while (idleConnections != null) {
            ClientConnection connection = idleConnections.pollFirst();
            if (connection == null) {
                return Optional.empty();
            }
            if (connection.isOpen()) {
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    /**
     * Closes a connection whose response is not awaited any more. {@link ClientConnection#close}
     * would keep it open until the server closes it, which a server that does not respond never
     * does; a connection that is taken over as if for another protocol can be closed at once.
     */
    private static void abort(ClientConnection connection) {
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            // It is closed already.
            LOG.debug("No need to close the connection to {}", connection.getPeerAddress(), e);
        }
    }

    private interface FailureHandler {
        void handle(IOException cause);
    }

    private interface SuccessHandler<T> {
        void handle(T value);
    }

    private static <T> ClientCallback<T> callback(
            SuccessHandler<T> success, FailureHandler failure) {
        return new ClientCallback<>() {
            @Override
            public void completed(T result) {
                success.handle(result);
            }

            @Override
            public void failed(IOException e) {
                failure.handle(e);
            }
        };
    }

    private final class PendingRequest {
        final CompletableFuture<HttpResponse> mResponse = new CompletableFuture<>();
        final HttpRequest mRequest;
        volatile Optional<ClientConnection> mConnection = Optional.empty();
        volatile XnioExecutor.Key mTimeoutKey;

        PendingRequest(HttpRequest request) {
            mRequest = request;
        }

        /** Starts the timer of the deadline, which also limits the time to connect. */
        void startTimer(XnioExecutor executor) {
            long remainingMillis = Math.max(1, mRequest.deadline() - mClock.now());
            mTimeoutKey =
                    executor.executeAfter(this::onTimeout, remainingMillis, TimeUnit.MILLISECONDS);
        }

        void onConnected(ClientConnection connection) {
            mConnection = Optional.of(connection);
            if (mResponse.isDone()) {
                abort(connection);
                return;
            }
            connection
                    .getIoThread()
                    .execute(() ->
                            connection.sendRequest(
                                    clientRequest(),
                                    callback(this::onRequestSent, this::onFailure)));
        }

        void onConnectFailed(IOException cause) {
            mTimeoutKey.remove();
            ConnectException failure = new ConnectException(cause.getMessage());
            mResponse.completeExceptionally(failure);
        }

        private ClientRequest clientRequest() {
            ClientRequest request =
                    new ClientRequest()
                            .setMethod(new HttpString(mRequest.method()))
                            .setPath(mRequest.path());
            byte[] body = mRequest.body().getBytes(StandardCharsets.UTF_8);
            request.getRequestHeaders().put(Headers.HOST, mRequest.address());
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
            mRequest.headers()
                    .forEach((name, value) ->
                            request.getRequestHeaders().put(new HttpString(name), value));
            return request;
        }

        private void onRequestSent(ClientExchange exchange) {
            exchange.setResponseListener(callback(this::onResponseStarted, this::onFailure));
            new StringWriteChannelListener(mRequest.body(), StandardCharsets.UTF_8)
                    .setup(exchange.getRequestChannel());
        }

        private void onResponseStarted(ClientExchange exchange) {
            int status = exchange.getResponse().getResponseCode();
            new StringReadChannelListener(mBuffers) {
                @Override
                protected void stringDone(String body) {
                    onResponse(new HttpResponse(status, body));
                }

                @Override
                protected void error(IOException e) {
                    onFailure(e);
                }
            }.setup(exchange.getResponseChannel());
        }

        private void onResponse(HttpResponse response) {
            mTimeoutKey.remove();
            if (mResponse.complete(response)) {
                mIdleConnections
                        .computeIfAbsent(mRequest.address(), key -> new ConcurrentLinkedDeque<>())
                        .addFirst(mConnection.orElseThrow());
            }
        }

        private void onFailure(IOException cause) {
            mTimeoutKey.remove();
            mConnection.ifPresent(HttpClient::abort);
            mResponse.completeExceptionally(cause);
        }

        private void onTimeout() {
            String message = "No response from " + mRequest.address() + " before the deadline";
            if (mResponse.completeExceptionally(new TimeoutException(message))) {
                mConnection.ifPresent(HttpClient::abort);
            }
        }
    }
}
