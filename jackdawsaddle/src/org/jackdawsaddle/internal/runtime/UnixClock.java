package org.jackdawsaddle.internal.runtime;

import java.util.concurrent.TimeUnit;

/**
 * A monotonic clock in milliseconds since the epoch: the wall clock at start plus elapsed time.
 *
 * <p>{@link System#nanoTime} stops while an instance is suspended, and the wall clock does not. If
 * the wall clock has advanced much further between two readings, its advance is therefore used.
 * Thread-safe.
 */
public final class UnixClock {
    /** A smaller difference counts as drift or adjustment of the wall clock, and is ignored. */
    private static final long MIN_SUSPENSION_MILLIS = 200;

    private long mNow = System.currentTimeMillis();
    private long mLastWallMillis = mNow;
    private long mLastNanos = System.nanoTime();

    /** Returns the current time in milliseconds since the epoch. */
    public synchronized long now() {
        long wall = System.currentTimeMillis();
        long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mLastNanos);
        long ahead = wall - mLastWallMillis - elapsed;
        mLastNanos += TimeUnit.MILLISECONDS.toNanos(elapsed);
        mLastWallMillis = wall;
        mNow += ahead > MIN_SUSPENSION_MILLIS ? elapsed + ahead : elapsed;
        return mNow;
    }
}
