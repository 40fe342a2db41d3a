package org.jackdawsaddle.internal.runtime;

import java.util.concurrent.TimeUnit;

/** Milliseconds since the epoch that never go back: the wall clock at start plus elapsed time. */
public final class UnixClock {
    private final long mWallAtStart = System.currentTimeMillis();
    private final long mNanosAtStart = System.nanoTime();

    /** Returns the time in milliseconds since the epoch. */
    public long now() {
        return mWallAtStart + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mNanosAtStart);
    }
}
