package org.jackdawsaddle.internal.wire;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.internal.log.Event;
import org.jackdawsaddle.internal.log.EventLog;
import org.jackdawsaddle.internal.runtime.ControlLoop;
import org.jackdawsaddle.internal.runtime.LatencyHistogram;
import org.jackdawsaddle.internal.runtime.MetricsRegistry;
import org.jackdawsaddle.internal.runtime.TickDelay;

/**
 * Confines the control state of a process to the thread that serves its connections, so that a
 * message is read, handled and answered without waking another thread. Work of all messages that
 * are read together forms one batch.
 */
public final class WireControlLoop implements Executor, ManagedService {
    private static final int MAX_BATCH = 256;
    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    /** A tick that is later than this is logged. */
    private static final long MAX_TICK_DELAY_MILLIS = 300;

    private final EventLoop mEventLoop;
    private final LongSupplier mTickMillis;
    private final Runnable mTick;
    private final Runnable mAfterBatch;
    private final Queue<Runnable> mQueue = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean mBatchScheduled = new AtomicBoolean();
    private final LatencyHistogram mTickDelays =
            new LatencyHistogram(
                    "jackdawsaddle_tick_delay_seconds",
                    "From when a tick of the control thread was due to its start");
    private volatile boolean mRunning;

    /** The timer of the next tick; null while none is scheduled. Event loop only. */
    private Future<?> mTickTimer;

    /** When that tick is due, as {@link System#nanoTime}. Event loop only. */
    private long mTickDueNanos = System.nanoTime();

    /**
     * Creates a loop.
     *
     * @param threads serve the connections; the work runs on one of them
     * @param tickMillis returns the longest time to the next tick, in milliseconds; zero or
     *     negative if it is due. Called after each batch of work
     * @param tick runs at each tick, after the batch
     * @param afterBatch runs after each batch of work and each tick
     */
    public WireControlLoop(
            WireThreads threads, LongSupplier tickMillis, Runnable tick, Runnable afterBatch) {
        mEventLoop = threads.group().next();
        mTickMillis = tickMillis;
        mTick = tick;
        mAfterBatch = afterBatch;
    }

    /** Starts the loop; the first tick is due at once. */
    @Override
    public void start() {
        mRunning = true;
        scheduleBatch();
    }

    /** Discards the queued work, and returns when the batch in progress has ended. */
    @Override
    public void stop() {
        mRunning = false;
        mEventLoop.submit(mQueue::clear).awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
    }

    /** Queues work to run on the control thread, in the order of submission. */
    @Override
    public void execute(Runnable work) {
        mQueue.add(work);
        scheduleBatch();
    }

    private void scheduleBatch() {
        if (mRunning && mBatchScheduled.compareAndSet(false, true)) {
            mEventLoop.execute(this::runBatch);
        }
    }

    private void runBatch() {
        if (!mRunning) {
            return;
        }
        mBatchScheduled.set(false);
        runQueued();
        long tickDelayNanos = System.nanoTime() - mTickDueNanos;
        if (tickDelayNanos >= 0) {
            recordTickDelay(TimeUnit.NANOSECONDS.toMillis(tickDelayNanos));
            cancelTimer();
            ControlLoop.runSafely(mTick);
        }
        ControlLoop.runSafely(mAfterBatch);
        scheduleTick();
    }

    private void recordTickDelay(long millis) {
        mTickDelays.observeMillis(millis, "tick");
        if (millis > MAX_TICK_DELAY_MILLIS) {
            EventLog.line(Event.PROCESS_LATE).with("ms", millis).write();
        }
    }

    /** Adds the loop's metrics. */
    public void addTo(MetricsRegistry metrics) {
        mTickDelays.addTo(metrics);
    }

    private void runQueued() {
        for (int count = 0; count < MAX_BATCH; count++) {
            Runnable work = mQueue.poll();
            if (work == null) {
                return;
            }
            ControlLoop.runSafely(work);
        }
        scheduleBatch();
    }

    private void scheduleTick() {
        long delayNanos = TickDelay.nanos(mTickMillis);
        long dueNanos = System.nanoTime() + delayNanos;
        if (mTickTimer == null || dueNanos - mTickDueNanos < 0) {
            cancelTimer();
            mTickDueNanos = dueNanos;
            mTickTimer = mEventLoop.schedule(this::runBatch, delayNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void cancelTimer() {
        if (mTickTimer != null) {
            mTickTimer.cancel(false);
            mTickTimer = null;
        }
    }
}
