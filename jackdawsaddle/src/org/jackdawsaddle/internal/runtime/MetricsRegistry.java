package org.jackdawsaddle.internal.runtime;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.Collector;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/** The metrics of one process, exposed in the Prometheus text format. */
public final class MetricsRegistry {
    /** The content type of the Prometheus text format. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();

    /** Registers a counter without labels; its value is read on the scraping thread. */
    public void counter(String name, String help, DoubleSupplier value) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(mRegistry);
    }

    /**
     * Registers a counter with one label; the map, from label values to counts, is read on the
     * scraping thread.
     */
    public void counters(
            String name, String help, String label, Supplier<Map<String, Long>> values) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames(label)
                .callback(callback -> values.get().forEach((key, n) -> callback.call(n, key)))
                .register(mRegistry);
    }

    /** Registers a gauge without labels; its value is read on the scraping thread. */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(mRegistry);
    }

    /** Registers a metric that collects its own samples. */
    void register(Collector metric) {
        mRegistry.register(metric);
    }

    /** Returns the current values of all metrics in the text format. */
    public String scrape() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, mRegistry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
