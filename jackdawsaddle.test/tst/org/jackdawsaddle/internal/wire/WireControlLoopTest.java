package org.jackdawsaddle.internal.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests order, ticks, failures and the end of the control loop on an I/O thread. */
public class WireControlLoopTest {
    private static final int WORKS = 1_000;
    private static final long TICK_MILLIS = 20;
    private static final long WATCH_MILLIS = 500;
    private static final int TIMEOUT_SECONDS = 10;

    private final WireThreads mThreads = new WireThreads("wire-test", 1);
    private final AtomicInteger mTickCount = new AtomicInteger();
    private final AtomicInteger mBatchCount = new AtomicInteger();
    private WireControlLoop mLoop;

    @BeforeMethod
    public void startLoop() {
        mTickCount.set(0);
        mBatchCount.set(0);
        mLoop =
                new WireControlLoop(
                        mThreads,
                        () -> TICK_MILLIS,
                        mTickCount::incrementAndGet,
                        mBatchCount::incrementAndGet);
        mLoop.start();
    }

    @AfterMethod
    public void stopLoop() {
        mLoop.stop();
    }

    @Test
    public void runsAllWorkInOrderDespiteAFailure() throws Exception {
        List<Integer> seen = new CopyOnWriteArrayList<>();
        List<Integer> expected = new ArrayList<>();
        CompletableFuture<Void> done = new CompletableFuture<>();
        for (int index = 0; index < WORKS; index++) {
            int number = index;
            expected.add(number);
            mLoop.execute(() -> {
                seen.add(number);
                if (number == 0) {
                    throw new IllegalStateException("thrown by the test");
                }
            });
        }
        mLoop.execute(() -> done.complete(null));
        done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(seen, expected);
    }

    @Test
    public void ticksOnlyWhenDueAndNeverAfterTheStop() throws Exception {
        Thread.sleep(WATCH_MILLIS);
        mLoop.stop();
        int ticks = mTickCount.get();
        int batches = mBatchCount.get();
        assertTrue(ticks >= 2 && ticks <= 1 + WATCH_MILLIS / TICK_MILLIS, "ticks: " + ticks);
        assertTrue(batches <= ticks + 1, batches + " batches for " + ticks + " ticks");
        Thread.sleep(2 * TICK_MILLIS);
        assertEquals(mTickCount.get(), ticks);
    }

    @Test
    public void goesOnWhenTheNextDeadlineCannotBeDetermined() throws Exception {
        AtomicInteger ticks = new AtomicInteger();
        WireControlLoop loop =
                new WireControlLoop(
                        mThreads,
                        () -> {
                            throw new IllegalStateException("thrown by the test");
                        },
                        ticks::incrementAndGet,
                        () -> {});
        loop.start();
        Thread.sleep(WATCH_MILLIS);
        loop.stop();
        assertTrue(ticks.get() > 1, "ticks: " + ticks);
    }
}
