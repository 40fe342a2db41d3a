package org.jackdawsaddle.internal.pool.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.pool.RunSnapshot;
import org.jackdawsaddle.pool.TargetGateway.PollReply;
import org.jackdawsaddle.pool.TargetIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when {@link PoolSidecarCore} polls a target whose answers do not help. */
public class TargetPollTest {
    private static final TargetIncarnation TARGET =
            new TargetIncarnation(
                    "target", 5, 1, "ledger", "", new Demand(16, 1_000, 0), List.of(), false, 0);

    private PoolSidecarCore mCore;
    private long mNow;

    @BeforeMethod
    public void createSidecar() {
        mNow = 1_000_000;
        mCore = new PoolSidecarCore(new NodeId("sidecar", 1), "here", 7, 1_000);
        mCore.handle(new PoolSidecarEvent.TargetAnnounced(TARGET), mNow);
    }

    @Test
    public void pausesAfterASnapshotOfAnEarlierIncarnation() {
        long number = pollNumber().orElseThrow();
        answer(number, new RunSnapshot(4, 0, List.of(), List.of()));
        assertEquals(pollNumber(), Optional.empty());
        assertFalse(mCore.serving());
        mNow += 100;
        mCore.handle(new PoolSidecarEvent.Tick(), mNow);
        answer(pollNumber().orElseThrow(), new RunSnapshot(5, 0, List.of(), List.of()));
        assertTrue(mCore.serving());
    }

    private void answer(long number, RunSnapshot snapshot) {
        mCore.handle(
                new PoolSidecarEvent.PollAnswered(TARGET, number, new PollReply.Answered(snapshot)),
                mNow);
    }

    /** Returns the number of the poll that is requested now. */
    private Optional<Long> pollNumber() {
        return mCore.actions().stream()
                .filter(PoolSidecarAction.Poll.class::isInstance)
                .map(action -> ((PoolSidecarAction.Poll) action).number())
                .findFirst();
    }
}
