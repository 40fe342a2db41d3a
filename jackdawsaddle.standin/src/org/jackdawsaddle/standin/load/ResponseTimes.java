package org.jackdawsaddle.standin.load;

import org.HdrHistogram.Histogram;

/** A histogram of the response times of jobs. Thread-safe. */
public final class ResponseTimes {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double MEDIAN = 50;
    private static final double P99 = 99;
    private static final double P999 = 99.9;

    private final Histogram mMicros = new Histogram(SIGNIFICANT_DIGITS);

    /**
     * Records the response time of a job.
     *
     * @param millis the time in milliseconds; recorded to three significant digits
     */
    public synchronized void add(double millis) {
        mMicros.recordValue(Math.max(1, Math.round(millis * MICROS_PER_MILLI)));
    }

    /** Returns the number of recorded jobs. */
    public synchronized long count() {
        return mMicros.getTotalCount();
    }

    /** Returns the median in milliseconds. */
    public double median() {
        return percentile(MEDIAN);
    }

    /** Returns the mean in milliseconds. */
    public synchronized double mean() {
        return mMicros.getMean() / MICROS_PER_MILLI;
    }

    /** Returns the 99th percentile in milliseconds. */
    public double p99() {
        return percentile(P99);
    }

    /** Returns the 99.9th percentile in milliseconds. */
    public double p999() {
        return percentile(P999);
    }

    private synchronized double percentile(double percent) {
        return mMicros.getValueAtPercentile(percent) / MICROS_PER_MILLI;
    }
}
