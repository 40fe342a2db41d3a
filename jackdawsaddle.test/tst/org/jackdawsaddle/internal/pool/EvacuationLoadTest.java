package org.jackdawsaddle.internal.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jackdawsaddle.pool.Evacuation;
import org.jackdawsaddle.pool.PoolConfiguration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * One of three data centres is evacuated under load. Only one entry can read the store; the others
 * learn it from that entry and from sidecars.
 */
public class EvacuationLoadTest {
    private static final String EVACUATED = "west";
    private static final long WARM_UP_MILLIS = 3_000;
    private static final long LOAD_MILLIS = 8_000;
    private static final long DRAIN_MILLIS = 10_000;

    /** When no task may start there any more after the request. */
    private static final long EFFECT_MILLIS = 1_000;

    private static final double CORES_PER_WORKER = 64;
    private static final int SIDECARS = 18;

    /** The share of all cores that jobs need; two data centres have room for it. */
    private static final double UTILIZATION = 0.45;

    private static final double MIN_SERVED = 0.95;

    /** What fails halfway. */
    private enum Failure {
        NONE,
        /** The entry that has read the request is killed right after. */
        READER_KILLED,
        /** The sidecars of the data centre are killed and start again. */
        SIDECARS_KILLED
    }

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {{Failure.NONE}, {Failure.READER_KILLED}, {Failure.SIDECARS_KILLED}};
    }

    @Test(dataProvider = "failures")
    public void startsNothingThereAndServesElsewhere(Failure failure) {
        PoolSimulation simulation = pool();
        simulation.runUntil(simulation.mNow + WARM_UP_MILLIS, () -> {});
        SimulatedLoad load = new SimulatedLoad(simulation);
        long end = simulation.mNow + LOAD_MILLIS;
        kinds().forEach(kind -> load.submit(kind, end));
        simulation.runUntil(simulation.mNow + LOAD_MILLIS / 4, () -> {});
        read(simulation, new Evacuation(5, Set.of(EVACUATED)));
        simulation.runUntil(simulation.mNow + 10, () -> {});
        inject(failure, simulation);
        simulation.runUntil(simulation.mNow + EFFECT_MILLIS, () -> {});
        Map<Integer, Integer> startsBefore = startsInEvacuated(simulation);
        simulation.runUntil(end, () -> {});
        assertEquals(startsInEvacuated(simulation), startsBefore);
        simulation.runUntil(simulation.mNow + DRAIN_MILLIS, () -> {});
        if (failure == Failure.NONE) {
            assertTrue(load.servedShare() >= MIN_SERVED, load.tallies().toString());
        }
    }

    @Test
    public void usesTheDataCentreAgainAfterTheEnd() {
        PoolSimulation simulation = pool();
        simulation.runUntil(simulation.mNow + WARM_UP_MILLIS, () -> {});
        read(simulation, new Evacuation(5, Set.of(EVACUATED)));
        simulation.runUntil(simulation.mNow + EFFECT_MILLIS, () -> {});
        read(simulation, new Evacuation(6, Set.of()));
        SimulatedLoad load = new SimulatedLoad(simulation);
        long end = simulation.mNow + LOAD_MILLIS;
        kinds().forEach(kind -> load.submit(kind, end));
        simulation.runUntil(end, () -> {});
        startsInEvacuated(simulation)
                .forEach((sidecar, starts) -> assertTrue(starts > 0, "sidecar " + sidecar));
    }

    private static void read(PoolSimulation simulation, Evacuation evacuation) {
        SimulatedEntry reader = simulation.mEntries.get(0);
        reader.runIfAlive(
                reader.mIncarnation,
                () ->
                        reader.mCore.handle(
                                new PoolEntryEvent.EvacuationRead(evacuation), simulation.mNow));
    }

    private static void inject(Failure failure, PoolSimulation simulation) {
        switch (failure) {
            case NONE -> {}
            case READER_KILLED -> simulation.mEntries.get(0).kill();
            case SIDECARS_KILLED ->
                    simulation.mSidecars.stream()
                            .filter(EvacuationLoadTest::evacuated)
                            .forEach(SimulatedSidecar::kill);
        }
    }

    private static boolean evacuated(SimulatedSidecar sidecar) {
        return sidecar.mSimulation.mShape.dataCentreOf(sidecar.mIndex).equals(EVACUATED);
    }

    /** Returns the number of tasks that each worker of the data centre has ever started. */
    private static Map<Integer, Integer> startsInEvacuated(PoolSimulation simulation) {
        Map<Integer, Integer> starts = new HashMap<>();
        simulation.mSidecars.stream()
                .filter(EvacuationLoadTest::evacuated)
                .forEach(sidecar ->
                        starts.put(sidecar.mIndex, sidecar.mWorker.startedTasks().size()));
        return starts;
    }

    private static PoolSimulation pool() {
        return new PoolSimulation(
                1,
                new PoolShape(
                        4,
                        SIDECARS,
                        CORES_PER_WORKER,
                        List.of(1.0),
                        new PoolConfiguration(
                                1, kinds().stream().map(SimulatedJobKind::queue).toList())));
    }

    private static List<SimulatedJobKind> kinds() {
        double jobsPerSecond = SIDECARS * CORES_PER_WORKER * UTILIZATION / (2 * 0.286 * 5);
        return List.of(new SimulatedJobKind("book", 1, 3, 2, 286, 5, jobsPerSecond));
    }
}
