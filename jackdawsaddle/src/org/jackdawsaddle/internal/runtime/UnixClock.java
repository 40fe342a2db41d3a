package org.jackdawsaddle.internal.runtime;

import java.util.concurrent.TimeUnit;

/**
 * Milliseconds since the epoch that never go back: the wall clock at start plus elapsed time.
 *
 * <p>The steady clock stands still while an instance is suspended, and the wall clock does not; a
 * wall clock that runs far ahead of the steady one is therefore followed.
 */
public final class UnixClock {
    /** Less than this is drift or an adjustment of the wall clock. */
    private static final long MIN_SUSPENSION_MILLIS = 200;

    private long mNow = System.currentTimeMillis();
    private long mLastWallMillis = mNow;
    private long mLastNanos = System.nanoTime();

    /** Returns the time in milliseconds since the epoch. */
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
