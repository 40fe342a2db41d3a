package org.jackdawsaddle.internal.log;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.jackdawsaddle.internal.runtime.MetricsRegistry;

/**
 * Writes structured log lines. Each event has a limit of lines per second; lines over the limit are
 * counted and dropped. Thread-safe.
 */
public final class EventLog {
    private static final Logger LOG = LogManager.getLogger(EventLog.class);
    private static final Map<Event, RateLimit> RATE_LIMITS = new EnumMap<>(Event.class);
    private static final Line NO_OP_LINE = new Line(null);

    static {
        for (Event event : Event.values()) {
            RATE_LIMITS.put(event, new RateLimit());
        }
    }

    private EventLog() {}

    /** Limits the number of lines of one event in each second. */
    private static final class RateLimit {
        private final LongAdder mDropped = new LongAdder();

        /** The current second by {@link System#nanoTime}. */
        private long mSecond;

        /** The lines requested in the current second. */
        private int mLines;

        synchronized boolean tryAcquire(int maxLines) {
            long second = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
            if (second != mSecond) {
                mSecond = second;
                mLines = 0;
            }
            mLines++;
            return mLines <= maxLines;
        }
    }

    /** A log line that is being built; without a message, it ignores all calls. */
    public static final class Line {
        private final StringMapMessage mMessage;

        private Line(StringMapMessage message) {
            mMessage = message;
        }

        /** Adds a field. */
        public Line with(String field, Object value) {
            if (mMessage != null) {
                mMessage.with(field, String.valueOf(value));
            }
            return this;
        }

        /** Passes the line to the logger, which does not block. */
        public void write() {
            if (mMessage != null) {
                LOG.info(mMessage);
            }
        }
    }

    /**
     * Creates a line for an event. The line is dropped if the event is over its limit, or if the
     * level INFO is disabled.
     */
    public static Line line(Event event) {
        RateLimit rateLimit = RATE_LIMITS.get(event);
        if (!LOG.isInfoEnabled()) {
            return NO_OP_LINE;
        }
        if (!rateLimit.tryAcquire(event.maxLinesPerSecond())) {
            rateLimit.mDropped.increment();
            return NO_OP_LINE;
        }
        return new Line(new StringMapMessage().with("event", event.logName()));
    }

    /** Registers the counts of dropped lines with the metrics of a process. */
    public static void addTo(MetricsRegistry metrics) {
        metrics.counters(
                "jackdawsaddle_log_lines_dropped", "Lines by event", "event", EventLog::dropped);
    }

    private static Map<String, Long> dropped() {
        Map<String, Long> dropped = new TreeMap<>();
        RATE_LIMITS.forEach(
                (event, rateLimit) -> dropped.put(event.logName(), rateLimit.mDropped.sum()));
        return dropped;
    }
}
