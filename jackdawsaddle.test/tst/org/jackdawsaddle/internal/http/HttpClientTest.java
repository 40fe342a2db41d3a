package org.jackdawsaddle.internal.http;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.testng.annotations.Test;

/** Tests that the deadline of a request also limits the time to connect. */
public class HttpClientTest {
    /** Enough to fill the backlog of the server, so that a further connection stays pending. */
    private static final int PENDING_CONNECTIONS = 3;

    private static final long TIMEOUT_MILLIS = 300;
    private static final long SLACK_MILLIS = 700;

    @Test
    public void connectTimeIsLimitedByTheDeadline() throws IOException {
        UnixClock clock = new UnixClock();
        HttpClient httpClient = new HttpClient(clock, 1);
        httpClient.start();
        List<Socket> pending = new ArrayList<>();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            for (int index = 0; index < PENDING_CONNECTIONS; index++) {
                Socket socket = new Socket();
                pending.add(socket);
                connectOrTimeOut(socket, server);
            }
            long startMillis = clock.now();
            Throwable failure = failureOf(httpClient, server.getLocalPort(), clock);
            assertTrue(failure instanceof TimeoutException, String.valueOf(failure));
            assertTrue(clock.now() - startMillis < TIMEOUT_MILLIS + SLACK_MILLIS);
        } finally {
            for (Socket socket : pending) {
                socket.close();
            }
            httpClient.stop();
        }
    }

    /** Connects, or times out once the backlog of the server, which never accepts, is full. */
    private static void connectOrTimeOut(Socket socket, ServerSocket server) {
        try {
            socket.connect(server.getLocalSocketAddress(), (int) TIMEOUT_MILLIS);
        } catch (IOException e) {
            assertTrue(e instanceof java.net.SocketTimeoutException, e.toString());
        }
    }

    private static Throwable failureOf(HttpClient httpClient, int port, UnixClock clock) {
        HttpRequest request =
                new HttpRequest("GET", "127.0.0.1:" + port, "/", "", clock.now() + TIMEOUT_MILLIS);
        try {
            httpClient.send(request).join();
            return null;
        } catch (CompletionException e) {
            return e.getCause();
        }
    }
}
