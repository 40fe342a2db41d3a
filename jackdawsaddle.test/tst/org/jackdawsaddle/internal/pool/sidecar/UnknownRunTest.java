package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.testng.annotations.Test;

/** Guards against runs that go on after their entry, back after a loss, counts them as ended. */
public class UnknownRunTest extends PoolSidecarCoreTestBase {
    @Test
    public void stopsRunsThatTheirEntryDoesNotResume() {
        start(RUN);
        reconnect();
        send(OWNER, new PoolMessage.Resume(List.of()));
        assertEquals(mStops, List.of(RUN));
    }

    @Test
    public void keepsRunsThatTheirEntryResumes() {
        start(RUN);
        reconnect();
        send(OWNER, new PoolMessage.Resume(List.of(RUN)));
        assertEquals(mStops, List.of());
    }

    @Test
    public void keepsTheRunsOfOtherEntries() {
        start(RUN);
        send(OTHER, new PoolMessage.Resume(List.of()));
        assertEquals(mStops, List.of());
    }

    private void reconnect() {
        handle(new PoolSidecarEvent.EntryLost(OWNER));
        handle(new PoolSidecarEvent.EntryConnected(OWNER));
    }
}
