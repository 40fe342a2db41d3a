package org.jackdawsaddle.internal.runtime;

import java.util.concurrent.TimeUnit;

/**
 * A monotonic clock in milliseconds since the epoch: the wall clock at creation plus the time that
 * {@link System#nanoTime} has measured since then.
 *
 * <p>{@link System#nanoTime} stops while a machine is suspended, and the wall clock does not. If
 * the wall clock has advanced by over 200 ms more than {@code nanoTime} between two readings, the
 * difference is taken for a suspension and added; so is a forward step of the wall clock of that
 * size. Thread-safe.
 */
public final class UnixClock {
    /** A lead of the wall clock up to this counts as drift or adjustment, and is ignored. */
    private static final long MIN_SUSPENSION_MILLIS = 200;

    private long mNow = System.currentTimeMillis();
    private long mLastWallMillis = mNow;
    private long mLastNanos = System.nanoTime();

    /** Returns the current time in milliseconds since the epoch. */
    public synchronized long now() {
        long wallMillis = System.currentTimeMillis();
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mLastNanos);
        long wallLeadMillis = wallMillis - mLastWallMillis - elapsedMillis;
        mLastNanos += TimeUnit.MILLISECONDS.toNanos(elapsedMillis);
        mLastWallMillis = wallMillis;
        mNow +=
                wallLeadMillis > MIN_SUSPENSION_MILLIS
                        ? elapsedMillis + wallLeadMillis
                        : elapsedMillis;
        return mNow;
    }
}
