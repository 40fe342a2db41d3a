package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertEquals;
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
    private static final long LONG_MILLIS = 60_000;
    private static final TargetIncarnation ODD =
            new TargetIncarnation(
                    "odd", 9, 1, "unnamed", "", TARGET.capacity(), List.of(), false, 0);
    private static final TargetIncarnation ODD_AGAIN =
            new TargetIncarnation(
                    "odd", 9, 2, "unnamed", "", TARGET.capacity(), List.of(), false, 0);

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
        restartSidecar();
        handle(new PoolSidecarEvent.TargetAnnounced(ODD));
        answerPollAs(ODD);
        assertTrue(mCore.serving(), "nothing tells that it is odd");
        configure();
        handle(new PoolSidecarEvent.TargetAnnounced(TARGET));
        assertFalse(mCore.serving(), "not polled yet");
        answerPoll();
        assertTrue(mCore.serving());
    }

    /** The configuration comes last after a restart of the sidecar. */
    @Test
    public void returnsToItsTargetAtOnceWhenTheConfigurationArrives() {
        restartSidecar();
        handle(new PoolSidecarEvent.TargetAnnounced(ODD));
        handle(new PoolSidecarEvent.TargetAnnounced(TARGET));
        configure();
        answerPoll();
        assertTrue(mCore.serving());
    }

    /** The configuration may change long after another writer has announced something. */
    @Test
    public void takesOverNoAnnouncementThatHasTimedOut() {
        restartSidecar();
        handle(new PoolSidecarEvent.TargetAnnounced(ODD));
        handle(new PoolSidecarEvent.TargetAnnounced(TARGET));
        mNow += LONG_MILLIS;
        configure();
        answerPoll();
        assertFalse(mCore.serving());
    }

    /** An earlier process has saved the odd target. */
    @Test
    public void returnsToItsTargetIfTheOddOneWasLoaded() {
        restartSidecar();
        handle(new PoolSidecarEvent.TargetLoaded(ODD));
        handle(new PoolSidecarEvent.TargetAnnounced(TARGET));
        configure();
        answerPoll();
        assertTrue(mCore.serving());
    }

    /** The saved target arrives after the odd announcement, and before the configuration. */
    @Test
    public void returnsToItsTargetIfTheOddOneIsAnnouncedAgain() {
        restartSidecar();
        handle(new PoolSidecarEvent.TargetAnnounced(ODD));
        handle(new PoolSidecarEvent.TargetLoaded(TARGET.withSequenceReset()));
        handle(new PoolSidecarEvent.TargetAnnounced(TARGET));
        handle(new PoolSidecarEvent.TargetAnnounced(ODD_AGAIN));
        configure();
        handle(new PoolSidecarEvent.TargetAnnounced(ODD_AGAIN));
        answerPoll();
        assertTrue(mCore.serving());
    }

    /** A saved odd target would meet the next process of this sidecar first. */
    @Test
    public void savesNoTargetThatTheConfigurationDoesNotName() {
        restartSidecar();
        configure();
        handle(new PoolSidecarEvent.TargetAnnounced(ODD));
        tick();
        assertEquals(mSaved, List.of());
        handle(new PoolSidecarEvent.TargetAnnounced(TARGET));
        tick();
        assertEquals(mSaved, List.of(TARGET.withSequenceReset()));
    }

    private void restartSidecar() {
        mCore = new PoolSidecarCore(new NodeId("sidecar", 2), "here", 8, LEASE_MILLIS);
        handle(new PoolSidecarEvent.EntryConnected(OWNER));
    }
}
