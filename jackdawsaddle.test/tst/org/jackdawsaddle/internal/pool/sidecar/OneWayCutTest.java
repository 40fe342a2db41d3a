package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.jackdawsaddle.internal.pool.PoolTiming;
import org.testng.annotations.Test;

/**
 * Guards against runs that go on while their entry, which receives nothing from the sidecar, takes
 * them for ended.
 */
public class OneWayCutTest extends PoolSidecarCoreTestBase {
    private static final long RECONNECT_INTERVAL_MILLIS = 100;

    @Test
    public void stopsRunsWhenTheEntryAnswersOnNoNewConnection() {
        start(RUN);
        handle(new PoolSidecarEvent.EntryLost(OWNER));
        reconnectFor(PoolTiming.RECONNECT_TIMEOUT_MILLIS);
        assertEquals(mStops, List.of(RUN));
    }

    @Test
    public void keepsRunsWhenTheEntryAnswersOnTheNewConnection() {
        start(RUN);
        handle(new PoolSidecarEvent.EntryLost(OWNER));
        handle(new PoolSidecarEvent.EntryConnected(OWNER));
        ping(OWNER);
        mNow += PoolTiming.RECONNECT_TIMEOUT_MILLIS;
        tick();
        assertEquals(mStops, List.of());
    }

    /** Lets the connection to the owner open and close again and again. */
    private void reconnectFor(long millis) {
        for (long passed = 0; passed < millis; passed += RECONNECT_INTERVAL_MILLIS) {
            handle(new PoolSidecarEvent.EntryConnected(OWNER));
            mNow += RECONNECT_INTERVAL_MILLIS;
            tick();
            handle(new PoolSidecarEvent.EntryLost(OWNER));
        }
        tick();
    }
}
