package org.jackdawsaddle.internal.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.function.Consumer;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.errors.JackdawException;
import org.jackdawsaddle.internal.json.Json;

/** Reads requests and writes replies without holding a thread. */
public final class HttpExchanges {
    private static final String JSON = "application/json";

    /**
     * An error as callers see it.
     *
     * @param outcome whether anything ran
     * @param code the stable code
     * @param message what is wrong
     * @param detail the place
     * @param remedy what to do
     */
    public record ErrorBody(
            String outcome, String code, String message, String detail, String remedy) {}

    private HttpExchanges() {}

    /** Writes a JSON reply; may be called on any thread. */
    public static void sendJson(HttpServerExchange exchange, int status, Object body) {
        sendText(exchange, status, JSON, body instanceof String text ? text : Json.write(body));
    }

    /** Writes a reply; may be called on any thread. */
    public static void sendText(
            HttpServerExchange exchange, int status, String contentType, String body) {
        Runnable write =
                () -> {
                    exchange.setStatusCode(status);
                    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
                    exchange.getResponseSender().send(body);
                };
        if (exchange.isInIoThread()) {
            write.run();
        } else {
            exchange.getIoThread().execute(write);
        }
    }

    /** Writes an error that proves that nothing ran. */
    public static void sendError(HttpServerExchange exchange, ErrorCode code, String detail) {
        sendJson(exchange, code.httpStatus(), errorBody("not-run", code, detail));
    }

    /** Returns the body of an error. */
    public static ErrorBody errorBody(String outcome, ErrorCode code, String detail) {
        return new ErrorBody(outcome, code.code(), code.message(), detail, code.remedy());
    }

    /**
     * Reads the whole body, then goes on; a {@link JackdawException} becomes the reply. The
     * exchange stays open until a reply is written.
     */
    public static void receiveBody(HttpServerExchange exchange, Consumer<String> next) {
        exchange.getRequestReceiver()
                .receiveFullString(
                        (ignored, body) -> dispatch(exchange, () -> next.accept(body)),
                        (ignored, e) ->
                                sendError(exchange, ErrorCode.BODY_TOO_LARGE, "Body not read."));
    }

    /** Goes on with the exchange left open until a reply is written. */
    public static void dispatch(HttpServerExchange exchange, Runnable next) {
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> {
                    try {
                        next.run();
                    } catch (JackdawException e) {
                        sendError(exchange, e.errorCode(), e.detail());
                    }
                });
    }
}
