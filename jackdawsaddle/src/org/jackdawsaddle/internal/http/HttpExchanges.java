package org.jackdawsaddle.internal.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.errors.JackdawException;
import org.jackdawsaddle.errors.RequestInvalidException;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;

/** Reads request bodies and writes responses without blocking a thread. */
public final class HttpExchanges {
    private static final Logger LOG = LogManager.getLogger(HttpExchanges.class);
    private static final String JSON = "application/json";
    private static final int INTERNAL_ERROR = 500;

    /**
     * The response body of an error.
     *
     * @param outcome {@code not-run} if nothing has run, or {@code failed}
     * @param code the stable error code
     * @param message the description of the error
     * @param detail the field, object or value that caused the error
     * @param remedy the action that resolves the error
     */
    public record ErrorBody(
            String outcome, String code, String message, String detail, String remedy) {}

    private HttpExchanges() {}

    /**
     * Sends a JSON response. May be called on any thread.
     *
     * @param status the HTTP status code
     * @param body the JSON text, or an object to serialize
     */
    public static void sendJson(HttpServerExchange exchange, int status, Object body) {
        sendText(exchange, status, JSON, body instanceof String text ? text : Json.write(body));
    }

    /** Sends a response. May be called on any thread. */
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

    /**
     * Sends an error response with the outcome {@code not-run}, which tells the caller that no task
     * has run.
     */
    public static void sendError(HttpServerExchange exchange, ErrorCode code, String detail) {
        sendJson(exchange, code.httpStatus(), errorBody("not-run", code, detail));
    }

    /**
     * Creates the response body of an error.
     *
     * @param outcome {@code not-run} or {@code failed}
     * @param detail the field, object or value that caused the error
     */
    public static ErrorBody errorBody(String outcome, ErrorCode code, String detail) {
        return new ErrorBody(outcome, code.code(), code.message(), detail, code.remedy());
    }

    /**
     * Reads the request body, decodes it as UTF-8 whatever its content type says, as JSON has no
     * other encoding, and passes it to the handler, as {@link #dispatch} does. A body that is not
     * UTF-8 is answered with {@link ErrorCode#REQUEST_INVALID}, as replacing what cannot be decoded
     * would change the text; any failure to read it with {@link ErrorCode#BODY_TOO_LARGE}.
     */
    public static void receiveBody(HttpServerExchange exchange, Consumer<String> handler) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (ignored, body) ->
                                dispatch(
                                        exchange, () -> handler.accept(decodeUtf8(exchange, body))),
                        (ignored, e) ->
                                sendError(
                                        exchange,
                                        ErrorCode.BODY_TOO_LARGE,
                                        "The body could not be read."));
    }

    /**
     * Decodes a body.
     *
     * @throws RequestInvalidException if it is not well-formed UTF-8
     */
    private static String decodeUtf8(HttpServerExchange exchange, byte[] body) {
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
        } catch (CharacterCodingException e) {
            EventLog.line(Event.INPUT_UNREADABLE)
                    .with("input", "body")
                    .with("path", exchange.getRequestPath())
                    .write();
            throw new RequestInvalidException("body: must be UTF-8");
        }
    }

    /**
     * Runs the handler on the current thread, which must not be blocked. A {@link JackdawException}
     * that it throws is sent as the response; otherwise the exchange stays open until the handler
     * has sent one, or a future that it has passed to {@link #respond}.
     */
    public static void dispatch(HttpServerExchange exchange, Runnable handler) {
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> {
                    try {
                        handler.run();
                    } catch (JackdawException e) {
                        sendError(exchange, e.errorCode(), e.detail());
                    }
                });
    }

    /**
     * Watches the connection of a request until its response is complete; to be called on the I/O
     * thread, once the body has been read.
     *
     * @return completes on the I/O thread once the client has closed or reset the connection; is
     *     complete already if it did so before its request was read. A client that closes only its
     *     sending side, which HTTP clients do not, counts as gone; one that pipelines more than 64
     *     KiB of requests is not watched.
     */
    public static CompletableFuture<Void> clientDisconnected(HttpServerExchange exchange) {
        return ClientDisconnects.watch(exchange);
    }

    /**
     * Passes the result of a future to the handler, which sends the response. If either fails, that
     * is sent as the response: a {@link JackdawException} as {@link #dispatch} does, anything else
     * with status 500.
     */
    public static <T> void respond(
            HttpServerExchange exchange, CompletableFuture<T> result, Consumer<T> handler) {
        result.thenAccept(handler)
                .exceptionally(failure -> {
                    sendFailure(exchange, failure);
                    return null;
                });
    }

    private static void sendFailure(HttpServerExchange exchange, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof JackdawException e) {
            sendError(exchange, e.errorCode(), e.detail());
        } else {
            LOG.error("Unexpected exception; the request is answered with status 500", cause);
            sendJson(exchange, INTERNAL_ERROR, "{}");
        }
    }
}
