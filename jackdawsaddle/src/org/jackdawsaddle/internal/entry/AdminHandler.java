package org.jackdawsaddle.internal.entry;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jackdawsaddle.config.ConfigurationChecker;
import org.jackdawsaddle.config.ConfigurationPublisher;
import org.jackdawsaddle.config.Finding;
import org.jackdawsaddle.errors.ErrorCode;
import org.jackdawsaddle.errors.JackdawException;
import org.jackdawsaddle.errors.RequestInvalidException;
import org.jackdawsaddle.internal.http.HttpExchanges;
import org.jackdawsaddle.internal.json.StrictJson;

/**
 * The HTTP interface of operators. Every request must carry the administration token; if the token
 * in the settings is empty, every request is refused.
 */
final class AdminHandler {
    private static final Logger LOG = LogManager.getLogger(AdminHandler.class);
    private static final int OK = 200;
    private static final String BEARER_PREFIX = "Bearer ";

    /** The response to a configuration that cannot be published. */
    record FindingsBody(String code, String message, String remedy, List<Finding> findings) {}

    /** The response after a sidecar was retired, with the number of partitions changed. */
    record RetirementBody(int partitionsChanged) {}

    private final EntryApi mEntry;
    private final ConfigurationPublisher mPublisher;
    private final RosterEditor mRosterEditor;
    private final byte[] mToken;

    AdminHandler(
            EntryApi entry,
            ConfigurationPublisher publisher,
            RosterEditor rosterEditor,
            String token) {
        mEntry = entry;
        mRosterEditor = rosterEditor;
        mPublisher = publisher;
        mToken = token.getBytes(StandardCharsets.UTF_8);
    }

    void addTo(RoutingHandler routes) {
        routes.get("/admin/v1/status", requireToken(this::status));
        routes.get("/admin/v1/configuration", requireToken(this::configuration));
        routes.put("/admin/v1/configuration", requireToken(this::publish));
        routes.post("/admin/v1/forget/{target}", requireToken(this::retireSidecar));
    }

    private HttpHandler requireToken(HttpHandler handler) {
        return exchange -> {
            if (hasValidToken(exchange)) {
                handler.handleRequest(exchange);
            } else {
                HttpExchanges.sendError(
                        exchange, ErrorCode.UNAUTHORIZED, exchange.getRequestPath());
            }
        };
    }

    private boolean hasValidToken(HttpServerExchange exchange) {
        String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        if (mToken.length == 0 || header == null || !header.startsWith(BEARER_PREFIX)) {
            return false;
        }
        byte[] givenToken =
                header.substring(BEARER_PREFIX.length()).getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(mToken, givenToken);
    }

    private void status(HttpServerExchange exchange) {
        HttpExchanges.dispatch(
                exchange,
                () ->
                        HttpExchanges.respond(
                                exchange,
                                mEntry.status(),
                                status -> HttpExchanges.sendJson(exchange, OK, status)));
    }

    private void configuration(HttpServerExchange exchange) {
        HttpExchanges.dispatch(
                exchange,
                () ->
                        HttpExchanges.respond(
                                exchange,
                                mEntry.configuration(),
                                json -> HttpExchanges.sendJson(exchange, OK, json)));
    }

    private void publish(HttpServerExchange exchange) {
        HttpExchanges.receiveBody(
                exchange,
                text -> {
                    PublishBody body = StrictJson.read(text, PublishBody.class);
                    require(body.author(), "author");
                    require(body.reason(), "reason");
                    require(body.publicationId(), "publicationId");
                    if (body.set() == null) {
                        throw new RequestInvalidException("set: missing");
                    }
                    publish(exchange, body);
                });
    }

    private void publish(HttpServerExchange exchange, PublishBody body) {
        List<Finding> findings = ConfigurationChecker.check(body.set());
        if (!findings.isEmpty()) {
            ErrorCode code = ErrorCode.CONFIGURATION_INVALID;
            HttpExchanges.sendJson(
                    exchange,
                    code.httpStatus(),
                    new FindingsBody(code.code(), code.message(), code.remedy(), findings));
            return;
        }
        mPublisher
                .publish(
                        body.baseRevision(),
                        body.publicationId(),
                        body.author(),
                        body.reason(),
                        body.set())
                .whenComplete((head, failure) -> {
                    if (failure == null) {
                        HttpExchanges.sendJson(exchange, OK, head.audit().getFirst());
                    } else {
                        sendFailure(exchange, failure);
                    }
                });
    }

    private void retireSidecar(HttpServerExchange exchange) {
        HttpExchanges.dispatch(
                exchange,
                () -> {
                    // The parameter holds the name of a sidecar, despite its own name.
                    String sidecar = exchange.getQueryParameters().get("target").peekFirst();
                    LOG.info(
                            "Retiring sidecar {} in all rosters at an operator's request", sidecar);
                    mRosterEditor
                            .retire(sidecar, mEntry.now())
                            .whenComplete((changed, failure) -> {
                                if (failure == null) {
                                    HttpExchanges.sendJson(
                                            exchange, OK, new RetirementBody(changed));
                                } else {
                                    sendFailure(exchange, failure);
                                }
                            });
                });
    }

    /** Refuses a value that is missing or blank. */
    private static void require(String value, String field) {
        if (Optional.ofNullable(value).filter(text -> !text.isBlank()).isEmpty()) {
            throw new RequestInvalidException(field + ": missing");
        }
    }

    /** Sends an error; the operation may have taken effect if the store did not answer. */
    private static void sendFailure(HttpServerExchange exchange, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof JackdawException error) {
            HttpExchanges.sendError(exchange, error.errorCode(), error.detail());
        } else {
            HttpExchanges.sendError(exchange, ErrorCode.STORE_UNAVAILABLE, String.valueOf(cause));
        }
    }
}
