package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.pool.PoolJob;
import org.jackdawsaddle.pool.PoolStep;
import org.testng.annotations.Test;

/** Tests which messages {@link PoolEntryState} sends to sidecars. */
public class PoolEntryStateTest {
    private static final NodeId SIDECAR = new NodeId("sidecar", 1);
    private static final Run RUN = new Run("aa.0.0.0", 1);

    @Test
    public void sendsAStopThatWasRequestedWhileTheSidecarWasDisconnected() {
        PoolEntryState state = new PoolEntryState();
        SidecarView sidecar =
                new SidecarView(
                        new PoolMessage.Hello(
                                SIDECAR, "here", "target", "ledger", Demand.NONE, List.of(), 0, 0));
        state.mSidecars.put(SIDECAR, sidecar);
        state.requestStop(sidecar, placedRun());
        state.flushStops();
        assertEquals(state.mActions, List.of());
        sidecar.onConnected(1_000);
        state.flushStops();
        state.flushStops();
        assertEquals(
                state.mActions,
                List.of(
                        new PoolEntryAction.SendToSidecar(
                                SIDECAR, new PoolMessage.Stop(List.of(RUN)))));
    }

    private static PlacedRun placedRun() {
        PoolStep step =
                new PoolStep(1, Demand.NONE, 100, List.of(), Optional.empty(), Optional.empty(), 0);
        PoolJob job = new PoolJob("aa", "checks", "payload", List.of(step), 9_000);
        ActiveJob active =
                new ActiveJob(
                        job,
                        PoolShape.small(1, 1).configuration().queue("checks").orElseThrow(),
                        1_000,
                        1_300);
        return new PlacedRun(active.mTasks.get(0), RUN, 1_000, 100);
    }
}
