package org.jackdawsaddle.internal.runtime;

import io.undertow.server.RoutingHandler;
import java.util.function.BooleanSupplier;
import org.jackdawsaddle.internal.http.HttpExchanges;

/** The liveness, readiness and metrics endpoints of a process. */
public final class HealthHandler {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final String TEXT = "text/plain";

    private HealthHandler() {}

    /**
     * Adds the endpoints to the routes.
     *
     * @param ready whether the readiness endpoint answers with status 200 instead of 503
     */
    public static void addTo(
            RoutingHandler routes, BooleanSupplier ready, MetricsRegistry metrics) {
        routes.get(
                "/health/live", exchange -> HttpExchanges.sendText(exchange, OK, TEXT, "live\n"));
        routes.get(
                "/health/ready",
                exchange -> {
                    if (ready.getAsBoolean()) {
                        HttpExchanges.sendText(exchange, OK, TEXT, "ready\n");
                    } else {
                        HttpExchanges.sendText(exchange, UNAVAILABLE, TEXT, "not ready\n");
                    }
                });
        routes.get(
                "/metrics",
                exchange ->
                        HttpExchanges.sendText(
                                exchange, OK, MetricsRegistry.CONTENT_TYPE, metrics.scrape()));
    }
}
