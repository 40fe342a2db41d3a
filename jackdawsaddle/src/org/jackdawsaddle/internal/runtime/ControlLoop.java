package org.jackdawsaddle.internal.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jackdawsaddle.ManagedService;

/**
 * A single thread to which the control state of a process is confined. Other threads submit work to
 * it.
 */
public final class ControlLoop implements ManagedService {
    private static final Logger LOG = LogManager.getLogger(ControlLoop.class);
    private static final int MAX_BATCH = 256;
    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    private final LinkedBlockingQueue<Runnable> mQueue = new LinkedBlockingQueue<>();
    private final Runnable mTick;
    private final Runnable mAfterBatch;
    private final LongSupplier mTickMillis;
    private final Thread mThread;
    private volatile boolean mRunning = true;

    /**
     * Creates a loop.
     *
     * @param name the name of the thread
     * @param tickMillis returns the longest time to the next tick, in milliseconds; zero or
     *     negative if it is due. Called after each batch of work
     * @param tick runs at each tick, after the batch
     * @param afterBatch runs after each batch of work and each tick
     */
    public ControlLoop(String name, LongSupplier tickMillis, Runnable tick, Runnable afterBatch) {
        mTick = tick;
        mAfterBatch = afterBatch;
        mTickMillis = tickMillis;
        mThread = Thread.ofPlatform().name(name).daemon().unstarted(this::run);
    }

    @Override
    public void start() {
        mThread.start();
    }

    @Override
    public void stop() {
        mRunning = false;
        mThread.interrupt();
        try {
            mThread.join(STOP_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Queues work to run on the control thread, in the order of submission. Work that is queued
     * when the loop stops is discarded.
     */
    public void execute(Runnable work) {
        mQueue.add(work);
    }

    private void run() {
        List<Runnable> batch = new ArrayList<>();
        long nextTickNanos = System.nanoTime();
        while (mRunning) {
            try {
                Runnable first =
                        mQueue.poll(nextTickNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
                if (first != null) {
                    batch.add(first);
                    mQueue.drainTo(batch, MAX_BATCH);
                }
            } catch (InterruptedException e) {
                return;
            }
            batch.forEach(ControlLoop::runSafely);
            batch.clear();
            if (System.nanoTime() >= nextTickNanos) {
                runSafely(mTick);
                nextTickNanos = Long.MAX_VALUE;
            }
            runSafely(mAfterBatch);
            nextTickNanos =
                    Math.min(nextTickNanos, System.nanoTime() + TickDelay.nanos(mTickMillis));
        }
    }

    /** Runs work on the current thread, and logs an exception that it throws. */
    public static void runSafely(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            LOG.error(
                    "Unexpected exception on the control thread; skipping the rest of this work",
                    e);
        }
    }
}
