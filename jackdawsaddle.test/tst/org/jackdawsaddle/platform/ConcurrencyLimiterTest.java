package org.jackdawsaddle.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** Calls beyond the limit are queued and start as earlier ones end, also after a failure. */
public class ConcurrencyLimiterTest {

    @Test
    public void startsQueuedCallsInOrderAsOthersEnd() {
        ConcurrencyLimiter limiter = new ConcurrencyLimiter(2);
        List<CompletableFuture<String>> started = new ArrayList<>();
        List<CompletableFuture<String>> results = new ArrayList<>();
        for (int call = 0; call < 4; call++) {
            results.add(
                    limiter.run(() -> {
                        CompletableFuture<String> response = new CompletableFuture<>();
                        started.add(response);
                        return response;
                    }));
        }
        assertEquals(started.size(), 2);
        started.get(1).complete("second");
        assertEquals(started.size(), 3);
        assertEquals(results.get(1).join(), "second");
        started.get(0).completeExceptionally(new IllegalStateException());
        assertEquals(started.size(), 4);
        assertTrue(results.get(0).isCompletedExceptionally());
    }

    @Test
    public void goesOnAfterACallThatThrows() {
        ConcurrencyLimiter limiter = new ConcurrencyLimiter(1);
        CompletableFuture<String> thrown =
                limiter.run(() -> {
                    throw new IllegalArgumentException("expected by the test");
                });
        assertTrue(thrown.isCompletedExceptionally());
        assertTrue(limiter.run(() -> CompletableFuture.completedFuture("made")).isDone());
    }
}
