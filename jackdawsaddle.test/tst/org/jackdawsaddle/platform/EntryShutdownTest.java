package org.jackdawsaddle.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.jackdawsaddle.internal.http.HttpRequest;
import org.jackdawsaddle.internal.http.HttpResponse;
import org.jackdawsaddle.internal.runtime.Addresses;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.jackdawsaddle.standin.platform.LocalPlatform;
import org.jackdawsaddle.standin.platform.PlatformFixture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** An entry that shuts down answers each request that it has read, before it closes. */
public class EntryShutdownTest {
    private static final int LOOPBACK_NETWORK = 185;
    private static final double GRACE_SECONDS = 6;
    private static final long READY_TIMEOUT_MILLIS = 20_000;
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final int RESPONSE_TIMEOUT_MILLIS = 10_000;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final UnixClock mClock = new UnixClock();
    private PlatformFixture mFixture;
    private LocalPlatform mPlatform;

    @BeforeMethod
    public void start() throws InterruptedException {
        mFixture = new PlatformFixture(LOOPBACK_NETWORK, GRACE_SECONDS);
        mPlatform = new LocalPlatform(mFixture, 1, 1, mClock);
        mPlatform.start();
        long deadline = mClock.now() + READY_TIMEOUT_MILLIS;
        while (!mPlatform.ready(0)) {
            assertTrue(mClock.now() < deadline, "the entry did not become ready");
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    @AfterMethod
    public void stop() {
        mPlatform.stop();
    }

    @Test
    public void answersJobsThatCannotEndInTheGracePeriod() throws InterruptedException {
        CompletableFuture<HttpResponse> running =
                mPlatform.submit(0, "00000000000000a1", new PlatformFixture.Work(4, 6_000, 4));
        Thread.sleep(500);
        CompletableFuture<HttpResponse> waiting =
                mPlatform.submit(0, "00000000000000a2", new PlatformFixture.Work(1, 3_000, 4));
        Thread.sleep(100);
        mPlatform.stopLastEntry();
        assertEquals(statusOf(running), GATEWAY_TIMEOUT);
        assertEquals(statusOf(waiting), UNAVAILABLE, "none of its tasks has run");
    }

    @Test
    public void answersARequestWhoseBodyArrivesWhileTheEntryStops() throws Exception {
        HttpRequest request =
                mFixture.jobRequest(
                        0,
                        "checks",
                        "00000000000000b1",
                        new PlatformFixture.Work(1, 100, 4),
                        RESPONSE_TIMEOUT_MILLIS,
                        mClock.now() + RESPONSE_TIMEOUT_MILLIS);
        try (Socket socket = connect(request.address())) {
            CompletableFuture<Void> stopped = CompletableFuture.runAsync(mPlatform::stopLastEntry);
            Thread.sleep(2_800);
            socket.getOutputStream().write(head(request));
            Thread.sleep(400);
            socket.getOutputStream().write(request.body().getBytes(StandardCharsets.UTF_8));
            String response =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(response.startsWith("HTTP/1.1 200"), "response: " + response);
            stopped.join();
        }
    }

    private static Socket connect(String address) throws IOException {
        InetSocketAddress parsed = Addresses.parse(address);
        Socket socket = new Socket(parsed.getHostString(), parsed.getPort());
        socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
        return socket;
    }

    private static byte[] head(HttpRequest request) {
        StringBuilder head = new StringBuilder("POST " + request.path() + " HTTP/1.1\r\n");
        request.headers().forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + request.body().length() + "\r\n\r\n");
        return head.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the status of a response; 0 if the connection ended without one. */
    private static int statusOf(CompletableFuture<HttpResponse> response) {
        return response.handle((answer, failure) -> answer == null ? 0 : answer.status()).join();
    }
}
