package org.jackdawsaddle.internal.entry;

import io.undertow.server.RoutingHandler;
import org.jackdawsaddle.config.ConfigurationPublisher;
import org.jackdawsaddle.internal.runtime.HealthHandler;
import org.jackdawsaddle.internal.runtime.MetricsText;
import org.jackdawsaddle.store.StoreClient;

/** The HTTP routes of an entry. */
public final class EntryRoutes {

    private EntryRoutes() {}

    /** Creates the routes of callers, operators and health checks. */
    public static RoutingHandler create(
            EntryControl control, StoreClient store, String adminToken, MetricsText metrics) {
        RoutingHandler routes = new RoutingHandler();
        ConfigurationPublisher publisher = new ConfigurationPublisher(store, control::now);
        new CallerHandler(control).addTo(routes);
        new AdminHandler(control, publisher, new RosterEditor(store), adminToken).addTo(routes);
        HealthHandler.addTo(routes, control::ready, metrics);
        return routes;
    }
}
