package org.jackdawsaddle.internal.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jackdawsaddle.errors.RequestInvalidException;
import org.jackdawsaddle.internal.runtime.Addresses;
import org.jackdawsaddle.internal.runtime.HttpServer;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.testng.annotations.Test;

/**
 * Bodies are read as UTF-8, and a request whose answer fails to be made is answered all the same.
 */
public class HttpExchangesTest {
    private static final String ADDRESS = "127.186.0.1:18186";
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long MAX_BODY_BYTES = 1_024;
    private static final UnixClock CLOCK = new UnixClock();

    @Test
    public void answersARequestWhoseFutureOrHandlerFails() {
        assertEquals(
                status(CompletableFuture.failedFuture(new IllegalStateException()), x -> {}), 500);
        CompletableFuture<String> late = new CompletableFuture<>();
        late.completeOnTimeout("result", 50, TimeUnit.MILLISECONDS);
        Consumer<String> rejecting =
                result -> {
                    throw new RequestInvalidException("deadline: passed meanwhile");
                };
        assertEquals(status(late, rejecting), 400);
    }

    /** Guards against tasks that run with another payload than their caller has sent. */
    @Test
    public void passesOnLettersOutsideAsciiUnchanged() {
        String text = "okse Bj\u00f8rn, Talla L\u00edtica \ud83d\udc02";
        assertEquals(
                call(HttpExchangesTest::echo, client -> client.send(request("POST", text)).join())
                        .body(),
                text);
    }

    @Test
    public void refusesABodyThatIsNotUtf8() {
        byte[] latin1 = "okse Bj\u00f8rn".getBytes(StandardCharsets.ISO_8859_1);
        String response = call(HttpExchangesTest::echo, client -> post(latin1));
        assertTrue(response.startsWith("HTTP/1.1 400"), response);
    }

    private static void echo(HttpServerExchange exchange) {
        HttpExchanges.receiveBody(
                exchange, body -> HttpExchanges.sendText(exchange, 200, "text/plain", body));
    }

    /** Sends a body as it is and returns the response up to its end. */
    private static String post(byte[] body) {
        InetSocketAddress address = Addresses.parse(ADDRESS);
        String head =
                "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
                        + body.length
                        + "\r\n\r\n";
        try (Socket socket = new Socket(address.getHostString(), address.getPort())) {
            socket.setSoTimeout((int) TIMEOUT_MILLIS);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(body);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static HttpRequest request(String method, String body) {
        return new HttpRequest(method, ADDRESS, "/", body, CLOCK.now() + TIMEOUT_MILLIS);
    }

    private static int status(CompletableFuture<String> result, Consumer<String> handler) {
        HttpHandler respond =
                exchange ->
                        HttpExchanges.dispatch(
                                exchange, () -> HttpExchanges.respond(exchange, result, handler));
        return call(respond, client -> client.send(request("GET", "")).join()).status();
    }

    /** Returns the result of a call while a server with the given handler runs. */
    private static <T> T call(HttpHandler handler, Function<HttpClient, T> call) {
        HttpServer server = new HttpServer(ADDRESS, 1, MAX_BODY_BYTES, 0, handler);
        HttpClient client = new HttpClient(CLOCK, 1);
        server.start();
        client.start();
        try {
            return call.apply(client);
        } finally {
            client.stop();
            server.stop();
        }
    }
}
