package org.jackdawsaddle.internal.entry;

import io.undertow.server.RoutingHandler;
import org.jackdawsaddle.config.ConfigurationPublisher;
import org.jackdawsaddle.internal.runtime.HealthHandler;
import org.jackdawsaddle.internal.runtime.MetricsRegistry;
import org.jackdawsaddle.store.StoreClient;

/** The HTTP routes of an entry. */
public final class EntryRoutes {

    private EntryRoutes() {}

    /** Creates the routes for callers, operators, health checks and metrics. */
    public static RoutingHandler create(
            EntryApi entry, StoreClient store, String adminToken, MetricsRegistry metrics) {
        RoutingHandler routes = new RoutingHandler();
        ConfigurationPublisher publisher = new ConfigurationPublisher(store, entry::now);
        new CallerHandler(entry).addTo(routes);
        new AdminHandler(entry, publisher, new RosterEditor(store), adminToken).addTo(routes);
        HealthHandler.addTo(routes, entry::ready, metrics);
        return routes;
    }
}
