package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests that callers refused together are told to come back at different times. */
public class RetryDelayTest {
    private static final int CALLERS = 1_000;
    private static final int SLICES = 10;
    private static final long WAIT_MILLIS = 4_000;

    /** No tenth of the time may get more than twice its share of the callers. */
    private static final int MAX_CALLERS_PER_SLICE = 2 * CALLERS / SLICES;

    @Test
    public void spreadsTheReturnOfCallersRefusedTogether() {
        int[] slices = new int[SLICES];
        for (int caller = 0; caller < CALLERS; caller++) {
            long delay = RetryDelay.millis(String.format("%016x", caller), WAIT_MILLIS);
            assertTrue(delay >= WAIT_MILLIS && delay < 2 * WAIT_MILLIS, "delay: " + delay);
            slices[(int) ((delay - WAIT_MILLIS) * SLICES / WAIT_MILLIS)]++;
        }
        for (int count : slices) {
            assertTrue(count <= MAX_CALLERS_PER_SLICE, "callers in a slice: " + count);
        }
    }

    @Test
    public void isTheSameForEachRefusalOfAJobAndAtLeastASecond() {
        long delay = RetryDelay.millis("00000000000000aa", 0);
        assertEquals(RetryDelay.millis("00000000000000aa", 0), delay);
        assertTrue(delay >= 1_000, "delay: " + delay);
    }
}
