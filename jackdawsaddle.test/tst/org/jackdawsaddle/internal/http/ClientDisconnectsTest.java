package org.jackdawsaddle.internal.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jackdawsaddle.internal.runtime.Addresses;
import org.jackdawsaddle.internal.runtime.HttpServer;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against work that goes on unnoticed after the client's connection was closed or reset. */
public class ClientDisconnectsTest {
    private static final String ADDRESS = "127.187.0.1:18187";
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int UNNOTICED_MILLIS = 300;
    private static final long MAX_BODY_BYTES = 100_000;
    private static final String REQUEST =
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";

    private static final int LARGE_BODY_BYTES = 90_000;
    private static final String LARGE_REQUEST =
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "
                    + LARGE_BODY_BYTES
                    + "\r\n\r\n"
                    + "b".repeat(LARGE_BODY_BYTES);

    /** A request that awaits its response, and whether its client had left when it was read. */
    private record Pending(
            HttpServerExchange exchange, CompletableFuture<Void> disconnected, boolean leftBefore) {
        void respond() {
            HttpExchanges.sendText(exchange, 200, "text/plain", "done");
        }
    }

    private final BlockingQueue<Pending> mPending = new LinkedBlockingQueue<>();
    private HttpServer mServer;
    private Socket mClient;
    private volatile CountDownLatch mHoldUp;

    @BeforeMethod
    public void start() throws IOException {
        mPending.clear();
        mServer = new HttpServer(ADDRESS, 1, MAX_BODY_BYTES, 0, this::onRequest);
        mServer.start();
        mClient = connect();
    }

    private static Socket connect() throws IOException {
        InetSocketAddress address = Addresses.parse(ADDRESS);
        Socket socket = new Socket(address.getHostString(), address.getPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    @AfterMethod
    public void stop() throws IOException {
        mClient.close();
        mServer.stop();
    }

    private void onRequest(HttpServerExchange exchange) {
        HttpExchanges.receiveBody(
                exchange,
                body -> {
                    CompletableFuture<Void> disconnected =
                            HttpExchanges.clientDisconnected(exchange);
                    mPending.add(new Pending(exchange, disconnected, disconnected.isDone()));
                    holdUp();
                });
    }

    /** Blocks the I/O thread while the test asks for it. */
    private void holdUp() {
        CountDownLatch holdUp = mHoldUp;
        try {
            if (holdUp != null) {
                assertTrue(holdUp.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    public void noticesAResetConnection() throws Exception {
        send(REQUEST);
        Pending pending = nextRequest();
        assertFalse(pending.disconnected().isDone());
        reset();
        pending.disconnected().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        pending.respond();
    }

    @Test
    public void noticesAClosedConnection() throws Exception {
        send(REQUEST);
        Pending pending = nextRequest();
        mClient.close();
        pending.disconnected().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        pending.respond();
    }

    @Test
    public void noticesAClosedConnectionWhoseRequestArrivedInParts() throws Exception {
        for (String part : REQUEST.split("(?<=\r\n\r\n)")) {
            send(part);
            Thread.sleep(UNNOTICED_MILLIS);
        }
        Pending pending = nextRequest();
        mClient.close();
        pending.disconnected().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        pending.respond();
    }

    @Test
    public void noticesAClientWhoseRequestTimesOut() throws Exception {
        UnixClock clock = new UnixClock();
        HttpClient client = new HttpClient(clock, 1);
        client.start();
        try {
            client.send(new HttpRequest("POST", ADDRESS, "/", "body", clock.now() + 100));
            nextRequest().disconnected().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } finally {
            client.stop();
        }
    }

    @Test
    public void noticesAConnectionThatWasClosedBeforeItsRequestWasRead() throws Exception {
        send(REQUEST);
        mClient.close();
        nextRequest().disconnected().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** A busy server reads requests late; their clients may have sent them again elsewhere. */
    @Test
    public void knowsAtOnceThatAConnectionWasResetBeforeItsRequestWasRead() throws Exception {
        try (Socket other = connect()) {
            CountDownLatch wasReset = new CountDownLatch(1);
            mHoldUp = wasReset;
            other.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            nextRequest();
            send(REQUEST);
            reset();
            mHoldUp = null;
            wasReset.countDown();
            assertTrue(nextRequest().leftBefore());
        }
    }

    @Test
    public void servesFurtherRequestsOnAWatchedConnection() throws Exception {
        for (int request = 0; request < 3; request++) {
            send(REQUEST);
            Pending pending = nextRequest();
            Thread.sleep(UNNOTICED_MILLIS);
            assertFalse(pending.disconnected().isDone());
            pending.respond();
            awaitResponse();
        }
    }

    @Test
    public void servesARequestThatArrivesBeforeTheResponseToTheOneBefore() throws Exception {
        send(REQUEST);
        Pending first = nextRequest();
        send(REQUEST.substring(0, 20));
        Thread.sleep(UNNOTICED_MILLIS);
        send(REQUEST.substring(20));
        Thread.sleep(UNNOTICED_MILLIS);
        assertFalse(first.disconnected().isDone());
        respondToBoth(first);
    }

    /** A client may pipeline its requests. */
    @Test
    public void noticesAResetConnectionOnWhichFurtherRequestsHaveArrived() throws Exception {
        send(REQUEST);
        Pending pending = nextRequest();
        send(REQUEST + REQUEST);
        Thread.sleep(UNNOTICED_MILLIS);
        assertFalse(pending.disconnected().isDone());
        reset();
        pending.disconnected().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        pending.respond();
    }

    @Test
    public void noticesAResetConnectionWhoseRequestsArrivedTogether() throws Exception {
        send(REQUEST + REQUEST);
        Pending pending = nextRequest();
        Thread.sleep(UNNOTICED_MILLIS);
        assertFalse(pending.disconnected().isDone());
        reset();
        pending.disconnected().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        pending.respond();
    }

    @Test
    public void servesAllRequestsThatArriveInPiecesBeforeTheFirstResponse() throws Exception {
        int requests = 40;
        send(REQUEST);
        Pending first = nextRequest();
        for (int request = 1; request < requests; request++) {
            send(REQUEST.substring(0, request));
            Thread.sleep(1);
            send(REQUEST.substring(request));
        }
        Thread.sleep(UNNOTICED_MILLIS);
        first.respond();
        awaitResponse();
        for (int request = 1; request < requests; request++) {
            nextRequest().respond();
            awaitResponse();
        }
    }

    /** What is kept of further requests is limited; the connection is then no longer watched. */
    @Test
    public void servesALargeRequestThatArrivesBeforeTheFirstResponse() throws Exception {
        send(REQUEST);
        Pending first = nextRequest();
        send(LARGE_REQUEST);
        Thread.sleep(UNNOTICED_MILLIS);
        assertFalse(first.disconnected().isDone());
        respondToBoth(first);
    }

    private void respondToBoth(Pending first) throws Exception {
        first.respond();
        awaitResponse();
        nextRequest().respond();
        awaitResponse();
    }

    private void send(String text) throws IOException {
        mClient.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void reset() throws IOException {
        mClient.setSoLinger(true, 0);
        mClient.close();
    }

    private Pending nextRequest() throws InterruptedException {
        Pending pending = mPending.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertTrue(pending != null, "no request was read");
        return pending;
    }

    /** Reads one response, whose last line is its body. */
    private void awaitResponse() throws IOException {
        InputStream in = mClient.getInputStream();
        StringBuilder response = new StringBuilder();
        while (!response.toString().endsWith("\r\n\r\ndone")) {
            int next = in.read();
            assertTrue(next >= 0, "the connection ended after: " + response);
            response.append((char) next);
        }
        assertEquals(response.substring(0, 12), "HTTP/1.1 200");
    }
}
