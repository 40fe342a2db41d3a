package org.jackdawsaddle.internal.http;

import static org.testng.Assert.assertEquals;

import io.undertow.server.HttpHandler;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jackdawsaddle.errors.RequestInvalidException;
import org.jackdawsaddle.internal.runtime.HttpServer;
import org.jackdawsaddle.internal.runtime.UnixClock;
import org.testng.annotations.Test;

/** A request whose answer fails to be made is answered all the same. */
public class HttpExchangesTest {
    private static final String ADDRESS = "127.186.0.1:18186";
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long MAX_BODY_BYTES = 1_024;

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

    private static int status(CompletableFuture<String> result, Consumer<String> handler) {
        HttpHandler respond =
                exchange ->
                        HttpExchanges.dispatch(
                                exchange, () -> HttpExchanges.respond(exchange, result, handler));
        UnixClock clock = new UnixClock();
        HttpServer server = new HttpServer(ADDRESS, 1, MAX_BODY_BYTES, 0, respond);
        HttpClient client = new HttpClient(clock, 1);
        server.start();
        client.start();
        try {
            long deadline = clock.now() + TIMEOUT_MILLIS;
            return client.send(new HttpRequest("GET", ADDRESS, "/", "", deadline)).join().status();
        } finally {
            client.stop();
            server.stop();
        }
    }
}
