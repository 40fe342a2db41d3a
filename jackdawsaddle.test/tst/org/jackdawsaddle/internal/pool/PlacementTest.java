package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.pool.quarantine.Quarantine;
import org.jackdawsaddle.internal.target.SpeedModel;
import org.jackdawsaddle.pool.PoolJob;
import org.jackdawsaddle.pool.PoolQueue;
import org.jackdawsaddle.pool.PoolStep;
import org.testng.annotations.Test;

/** Tests which target {@link Placement} chooses. */
public class PlacementTest {
    private static final long NOW = 1_000_000;
    private static final int OBSERVATIONS_PER_TARGET = 400;
    private static final double[] SPEEDS = {0.6, 1.0, 1.6};

    private final SpeedModel mSpeeds = new SpeedModel();
    private final Placement mPlacement = new Placement(mSpeeds, new Quarantine());

    @Test
    public void leavesFastTargetsToTasksThatNeedThem() {
        List<SidecarView> sidecars = learnedSidecars();
        assertEquals(chooseTarget(sidecars, 85, 0), "target-0.6");
        assertEquals(chooseTarget(sidecars, 1_286, 0), "target-1.0");
        assertEquals(chooseTarget(sidecars, 1_286, 900), "target-1.6", "the job is late");
    }

    @Test
    public void prefersTheEmptiestTargetAmongUnmeasuredOnes() {
        List<SidecarView> sidecars = List.of(sidecar("a", 10), sidecar("b", 16), sidecar("c", 12));
        assertEquals(chooseTarget(sidecars, 85, 0), "target-b");
    }

    @Test
    public void reservesNewlyFreedCapacityForJobsThatAreNotLate() {
        SidecarView sidecar = sidecar("a", 0);
        sidecar.onTick(NOW);
        sidecar.onTick(NOW);
        sidecar.onRoom(new PoolMessage.Room(new Demand(16, 1_000, 0), true, NOW, 0, 0, List.of()));
        assertEquals(chooseTarget(List.of(sidecar), 85, 0), "target-a");
        assertEquals(chooseSidecar(List.of(sidecar), 85, 1_000), Optional.empty());
        sidecar.onTick(NOW);
        assertEquals(chooseSidecar(List.of(sidecar), 85, 1_000), Optional.empty());
        sidecar.onTick(NOW);
        assertEquals(chooseTarget(List.of(sidecar), 85, 1_000), "target-a");
    }

    /** Returns idle sidecars after enough observations to learn the speeds of their targets. */
    private List<SidecarView> learnedSidecars() {
        List<SidecarView> sidecars = new ArrayList<>();
        for (double speed : SPEEDS) {
            sidecars.add(sidecar(Double.toString(speed), 16));
        }
        for (int round = 0; round < OBSERVATIONS_PER_TARGET; round++) {
            for (int index = 0; index < SPEEDS.length; index++) {
                mSpeeds.observe(sidecars.get(index).mSpeed, "checks", 1_000, 1_000 / SPEEDS[index]);
            }
        }
        return sidecars;
    }

    private static SidecarView sidecar(String name, double freeCores) {
        SidecarView sidecar =
                new SidecarView(
                        new PoolMessage.Hello(
                                new NodeId(name, 1),
                                "here",
                                "target-" + name,
                                "ledger",
                                new Demand(16, 1_000, 0),
                                List.of(),
                                0,
                                0));
        sidecar.onConnected(NOW);
        sidecar.onRoom(
                new PoolMessage.Room(new Demand(freeCores, 1_000, 0), true, NOW, 0, 0, List.of()));
        sidecar.onTick(NOW);
        sidecar.onTick(NOW);
        return sidecar;
    }

    private String chooseTarget(
            List<SidecarView> sidecars, long expectedMillis, long waitedMillis) {
        return chooseSidecar(sidecars, expectedMillis, waitedMillis).orElseThrow().mHello.target();
    }

    private Optional<SidecarView> chooseSidecar(
            List<SidecarView> sidecars, long expectedMillis, long waitedMillis) {
        PoolStep step =
                new PoolStep(
                        1,
                        new Demand(1, 1, 0),
                        expectedMillis,
                        List.of(),
                        Optional.empty(),
                        Optional.empty(),
                        0);
        PoolJob job = new PoolJob("aa", "checks", "", List.of(step), NOW + 30_000);
        PoolQueue queue = new PoolQueue("checks", "h", "/c/", "ledger", 0, 3, 1.6, 60, 0);
        ActiveJob active = new ActiveJob(job, queue, NOW - waitedMillis, 0);
        boolean late = mPlacement.late(active, NOW);
        return mPlacement.choose(active.mTasks.get(0), late, sidecars, NOW);
    }
}
