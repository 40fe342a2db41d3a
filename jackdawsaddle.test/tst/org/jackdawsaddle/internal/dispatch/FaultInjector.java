package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import org.jackdawsaddle.internal.sidecar.SidecarEvent;

/** Injects the faults of a simulation. */
final class FaultInjector {
    private static final int FAULT_KINDS = 9;
    private static final long POLL_MILLIS = 50;
    private static final long MAX_ISOLATION_MILLIS = 15_000;

    private FaultInjector() {}

    /** Injects one random fault, which ends after a random time; cut links are opened again. */
    static void inject(Simulation simulation) {
        switch (simulation.mRandom.nextInt(FAULT_KINDS)) {
            case 0 -> replaceEntry(simulation);
            case 1 -> replaceSidecar(simulation);
            case 2 -> freeze(simulation, randomNode(simulation, simulation.entries()));
            case 3 -> freeze(simulation, randomNode(simulation, simulation.sidecars()));
            case 4 -> storeOutage(simulation);
            case 6 -> isolate(simulation);
            case 7 -> requestSidecarLeave(simulation);
            case 5 -> cutLinks(randomNode(simulation, simulation.entries()), simulation);
            default -> requestEntryLeave(simulation);
        }
    }

    private static void replaceEntry(Simulation simulation) {
        SimulatedEntry entry = randomNode(simulation, simulation.entries());
        simulation.mCallers.count("entry killed");
        entry.kill();
        simulation.mScheduler.after(
                faultMillis(simulation), () -> simulation.startEntry(entry.mName));
    }

    private static void replaceSidecar(Simulation simulation) {
        SimulatedSidecar sidecar = randomNode(simulation, simulation.sidecars());
        simulation.mCallers.count("sidecar killed");
        sidecar.kill();
        simulation.mScheduler.after(
                faultMillis(simulation), () -> simulation.startSidecar(sidecar.mName));
    }

    /** Asks a sidecar to leave, and kills it once its owner has released it. */
    private static void requestSidecarLeave(Simulation simulation) {
        SimulatedSidecar sidecar = randomNode(simulation, simulation.sidecars());
        simulation.mCallers.count("sidecar leaving");
        sidecar.run(() -> sidecar.handle(new SidecarEvent.LeaveRequested()));
        killOnceReleased(simulation, sidecar);
    }

    private static void killOnceReleased(Simulation simulation, SimulatedSidecar sidecar) {
        simulation.mScheduler.after(
                POLL_MILLIS,
                () -> {
                    if (sidecar.mAlive && !sidecar.mCore.idle()) {
                        killOnceReleased(simulation, sidecar);
                    } else if (sidecar.mAlive) {
                        simulation.mCallers.count("sidecar released");
                        sidecar.kill();
                        simulation.mScheduler.after(
                                faultMillis(simulation),
                                () -> simulation.startSidecar(sidecar.mName));
                    }
                });
    }

    private static void freeze(Simulation simulation, SimulatedNode node) {
        simulation.mCallers.count("frozen");
        node.freeze();
        simulation.mScheduler.after(faultMillis(simulation), node::resume);
    }

    private static void storeOutage(Simulation simulation) {
        simulation.mCallers.count("store down");
        simulation.mStore.mDown = true;
        simulation.mScheduler.after(
                faultMillis(simulation),
                () -> {
                    simulation.mStore.mDown = false;
                    simulation.mStore.notifyWatches();
                });
    }

    private static void cutLinks(SimulatedNode node, Simulation simulation) {
        simulation.mCallers.count("links cut");
        for (SimulatedLink link : List.copyOf(node.mLinks.values())) {
            if (simulation.chance(0.5)) {
                link.cut();
            }
        }
    }

    /**
     * Injects a network partition: one entry and one or two sidecars can reach neither the other
     * nodes nor the store. Callers still reach the entry.
     */
    private static void isolate(Simulation simulation) {
        if (!simulation.mIsolated.isEmpty()) {
            return;
        }
        simulation.mCallers.count("isolated");
        simulation.mIsolated.add(randomNode(simulation, simulation.entries()));
        simulation.mIsolated.add(randomNode(simulation, simulation.sidecars()));
        simulation.mIsolated.add(randomNode(simulation, simulation.sidecars()));
        for (SimulatedNode node : simulation.mIsolated) {
            List.copyOf(node.mLinks.entrySet()).stream()
                    .filter(link -> !simulation.mIsolated.contains(link.getKey()))
                    .forEach(link -> link.getValue().cut());
        }
        simulation.mScheduler.after(
                simulation.mRandom.nextInt((int) MAX_ISOLATION_MILLIS),
                simulation.mIsolated::clear);
    }

    private static void requestEntryLeave(Simulation simulation) {
        SimulatedEntry entry = randomNode(simulation, simulation.entries());
        simulation.mCallers.count("entry leaving");
        entry.run(() -> entry.handle(new EntryEvent.LeaveRequested()));
        simulation.mScheduler.after(
                faultMillis(simulation),
                () -> {
                    entry.kill();
                    simulation.startEntry(entry.mName);
                });
    }

    private static long faultMillis(Simulation simulation) {
        return 50 + simulation.mRandom.nextInt(7_000);
    }

    private static <T> T randomNode(Simulation simulation, List<T> nodes) {
        return nodes.get(simulation.mRandom.nextInt(nodes.size()));
    }
}
