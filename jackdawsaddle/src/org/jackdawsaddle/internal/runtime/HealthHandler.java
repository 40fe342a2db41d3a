package org.jackdawsaddle.internal.runtime;

import io.undertow.server.RoutingHandler;
import java.util.function.BooleanSupplier;
import org.jackdawsaddle.internal.http.Replies;

/** The health, readiness and metrics end points of a process. */
public final class HealthHandler {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final String TEXT = "text/plain";

    private HealthHandler() {}

    /** Adds the end points to the routes. */
    public static void addTo(RoutingHandler routes, BooleanSupplier ready, MetricsText metrics) {
        routes.get("/health/live", exchange -> Replies.text(exchange, OK, TEXT, "live\n"));
        routes.get(
                "/health/ready",
                exchange -> {
                    if (ready.getAsBoolean()) {
                        Replies.text(exchange, OK, TEXT, "ready\n");
                    } else {
                        Replies.text(exchange, UNAVAILABLE, TEXT, "not ready\n");
                    }
                });
        routes.get(
                "/metrics",
                exchange -> Replies.text(exchange, OK, MetricsText.CONTENT_TYPE, metrics.text()));
    }
}
