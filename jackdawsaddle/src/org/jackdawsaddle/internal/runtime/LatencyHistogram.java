package org.jackdawsaddle.internal.runtime;

import io.prometheus.metrics.core.metrics.Histogram;
import java.util.concurrent.TimeUnit;

/** A histogram of durations, by outcome. */
public final class LatencyHistogram {
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Upper bounds of the buckets, from a network round trip to the slowest jobs. */
    private static final double[] BUCKET_BOUNDS_SECONDS = {
        0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10
    };

    private final Histogram mHistogram;

    /**
     * Creates a histogram that is not registered yet.
     *
     * @param name the name of the metric
     * @param help the help text of the metric
     */
    public LatencyHistogram(String name, String help) {
        mHistogram =
                Histogram.builder()
                        .name(name)
                        .help(help)
                        .labelNames("outcome")
                        .classicOnly()
                        .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                        .build();
    }

    /**
     * Records the time elapsed since the given reading of {@link System#nanoTime}.
     *
     * @param outcome the value of the label {@code outcome}
     */
    public void observeSince(long startNanos, String outcome) {
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        mHistogram.labelValues(outcome).observe(seconds);
    }

    /**
     * Records a duration in milliseconds.
     *
     * @param outcome the value of the label {@code outcome}
     */
    public void observeMillis(long millis, String outcome) {
        mHistogram.labelValues(outcome).observe(millis / MILLIS_PER_SECOND);
    }

    /** Registers the histogram with the metrics of a process. */
    public void addTo(MetricsRegistry metrics) {
        metrics.register(mHistogram);
    }
}
