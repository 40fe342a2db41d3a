package org.jackdawsaddle.internal.runtime;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** The delay of a control loop's next tick. */
public final class TickDelay {
    /** Bounds the rate of ticks that fail before they set their next deadline. */
    private static final long MIN_MILLIS = 5;

    /**
     * Returns the delay, in nanoseconds: the supplied one, but not less than a few milliseconds;
     * the shortest one if the supplier throws.
     *
     * @param millis returns the time to the next deadline, in milliseconds; zero or negative if it
     *     has passed
     */
    public static long nanos(LongSupplier millis) {
        AtomicLong delay = new AtomicLong(MIN_MILLIS);
        ControlLoop.runSafely(() -> delay.set(millis.getAsLong()));
        return TimeUnit.MILLISECONDS.toNanos(Math.max(MIN_MILLIS, delay.get()));
    }

    private TickDelay() {}
}
