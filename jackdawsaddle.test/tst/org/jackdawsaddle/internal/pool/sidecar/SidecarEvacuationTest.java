package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.ReportKind;
import org.jackdawsaddle.internal.message.PoolMessage.TaskReport;
import org.jackdawsaddle.pool.Evacuation;
import org.testng.annotations.Test;

/** Tests that a sidecar refuses tasks while its data centre is evacuated. */
public class SidecarEvacuationTest extends PoolSidecarCoreTestBase {
    private static final PoolMessage HERE =
            new PoolMessage.EvacuationPush(new Evacuation(7, Set.of("here")));

    @Test
    public void refusesTasksOfEntriesThatDoNotKnow() {
        send(OWNER, HERE);
        assertFalse(mCore.serving());
        assertFalse(lastRoom(OTHER).serving(), "the other entry learns it at once");
        PoolMessage.StartTask task = new PoolMessage.StartTask(RUN, QUEUE, "", new Demand(1, 0, 0));
        send(OTHER, new PoolMessage.Start(1, mNow, List.of(task)));
        assertEquals(reports(OTHER), List.of(new TaskReport(RUN, ReportKind.NOT_SERVING)));
    }

    @Test
    public void leavesActiveRuns() {
        start(RUN);
        send(OTHER, HERE);
        tick();
        assertEquals(mStops, List.of());
    }

    @Test
    public void servesAgainAfterTheEndAndIgnoresOlderRevisions() {
        send(OWNER, HERE);
        send(OWNER, new PoolMessage.EvacuationPush(new Evacuation(8, Set.of())));
        assertTrue(mCore.serving());
        send(OTHER, HERE);
        assertTrue(mCore.serving());
    }

    /** An entry that starts while the store is away learns it from the sidecars. */
    @Test
    public void tellsEntriesWithAnOlderRevision() {
        send(OWNER, HERE);
        mSent.clear();
        send(OTHER, new PoolMessage.Ping(0, false, 0));
        assertEquals(mSent.stream().filter(send -> send.message().equals(HERE)).count(), 1);
        assertEquals(mSent.get(0).entry(), OTHER);
    }

    @Test
    public void ignoresTheEvacuationOfAnotherDataCentre() {
        send(OWNER, new PoolMessage.EvacuationPush(new Evacuation(7, Set.of("elsewhere"))));
        assertTrue(mCore.serving());
    }
}
