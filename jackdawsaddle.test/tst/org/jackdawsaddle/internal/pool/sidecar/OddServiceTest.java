package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.json.Json;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.pool.PoolConfiguration;
import org.jackdawsaddle.pool.PoolQueue;
import org.jackdawsaddle.pool.TargetIncarnation;
import org.testng.annotations.Test;

/**
 * Regression test: announcements of a service that the configuration does not name, with a later
 * start, took the place of the target for good.
 */
public class OddServiceTest extends PoolSidecarCoreTestBase {
    private static final TargetIncarnation ODD =
            new TargetIncarnation(
                    "odd", 9, 1, "unnamed", "", TARGET.capacity(), List.of(), false, 0);

    private void configure() {
        PoolQueue queue = new PoolQueue(QUEUE, "h", "/c/", TARGET.service(), 0, 3, 1.6, 60, 0);
        String text = Json.write(new PoolConfiguration(1, List.of(queue)));
        send(OWNER, new PoolMessage.ConfigurationPush(1, text));
    }

    @Test
    public void keepsItsTarget() {
        configure();
        handle(new PoolSidecarEvent.TargetAnnounced(ODD));
        assertTrue(mCore.serving());
    }

    @Test
    public void keepsItsTargetWithoutAConfiguration() {
        handle(new PoolSidecarEvent.TargetAnnounced(ODD));
        assertTrue(mCore.serving());
    }

    /** The odd announcement comes first after a restart of the sidecar. */
    @Test
    public void returnsToItsTargetOnceTheConfigurationIsKnown() {
        mCore = new PoolSidecarCore(new NodeId("sidecar", 2), "here", 8, LEASE_MILLIS);
        handle(new PoolSidecarEvent.EntryConnected(OWNER));
        handle(new PoolSidecarEvent.TargetAnnounced(ODD));
        answerPollAs(ODD);
        assertTrue(mCore.serving(), "nothing tells that it is odd");
        configure();
        handle(new PoolSidecarEvent.TargetAnnounced(TARGET));
        assertFalse(mCore.serving(), "not polled yet");
        answerPoll();
        assertTrue(mCore.serving());
    }
}
