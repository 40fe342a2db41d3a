package org.jackdawsaddle.internal.runtime;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Tests that {@link ControlLoop} goes on after failures of its work. */
public class ControlLoopTest {
    private static final long WAIT_SECONDS = 10;
    private static final long OBSERVED_MILLIS = 1_000;

    /** At 5 ms a tick, and some for the time that stopping takes. */
    private static final int MAX_TICKS = 220;

    @Test
    public void doesNotSpinWhenATickThatIsDueFails() throws InterruptedException {
        AtomicInteger ticks = new AtomicInteger();
        ControlLoop loop =
                new ControlLoop(
                        "control",
                        () -> -1,
                        () -> {
                            ticks.incrementAndGet();
                            throw new IllegalStateException("expected by the test");
                        },
                        () -> {});
        loop.start();
        Thread.sleep(OBSERVED_MILLIS);
        loop.stop();
        assertTrue(ticks.get() > 1, "goes on");
        assertTrue(ticks.get() <= MAX_TICKS, "ticks: " + ticks);
    }

    @Test
    public void goesOnWhenTheNextDeadlineCannotBeDetermined() throws InterruptedException {
        ControlLoop loop =
                new ControlLoop(
                        "control",
                        () -> {
                            throw new IllegalStateException("expected by the test");
                        },
                        () -> {},
                        () -> {});
        loop.start();
        CountDownLatch first = new CountDownLatch(1);
        loop.execute(first::countDown);
        assertTrue(first.await(WAIT_SECONDS, TimeUnit.SECONDS));
        CountDownLatch second = new CountDownLatch(1);
        loop.execute(second::countDown);
        assertTrue(second.await(WAIT_SECONDS, TimeUnit.SECONDS), "the control thread has ended");
        loop.stop();
    }
}
