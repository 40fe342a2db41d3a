package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import org.jackdawsaddle.internal.sidecar.SidecarEvent;

/** The faults of a walk. */
final class WalkFaults {
    private static final int KINDS = 9;
    private static final long POLL_MILLIS = 50;
    private static final long MAX_ISLAND_MILLIS = 15_000;

    private WalkFaults() {}

    /** Makes one fault happen, which ends by itself some time later. */
    static void strike(Walk walk) {
        switch (walk.mRandom.nextInt(KINDS)) {
            case 0 -> replaceEntry(walk);
            case 1 -> replaceSidecar(walk);
            case 2 -> freeze(walk, any(walk, walk.entries()));
            case 3 -> freeze(walk, any(walk, walk.sidecars()));
            case 4 -> storeOutage(walk);
            case 6 -> island(walk);
            case 7 -> retireSidecar(walk);
            case 5 -> cut(any(walk, walk.entries()), walk);
            default -> leave(walk);
        }
    }

    private static void replaceEntry(Walk walk) {
        EntryNode entry = any(walk, walk.entries());
        walk.mCallers.count("entry killed");
        entry.kill();
        walk.mAgenda.after(span(walk), () -> walk.startEntry(entry.mName));
    }

    private static void replaceSidecar(Walk walk) {
        SidecarNode sidecar = any(walk, walk.sidecars());
        walk.mCallers.count("sidecar killed");
        sidecar.kill();
        walk.mAgenda.after(span(walk), () -> walk.startSidecar(sidecar.mName));
    }

    /** Asks a sidecar to leave, and ends it once it says that nothing depends on it. */
    private static void retireSidecar(Walk walk) {
        SidecarNode sidecar = any(walk, walk.sidecars());
        walk.mCallers.count("sidecar leaving");
        sidecar.run(() -> sidecar.handle(new SidecarEvent.LeaveRequested()));
        awaitIdle(walk, sidecar);
    }

    private static void awaitIdle(Walk walk, SidecarNode sidecar) {
        walk.mAgenda.after(
                POLL_MILLIS,
                () -> {
                    if (sidecar.mAlive && !sidecar.mCore.idle()) {
                        awaitIdle(walk, sidecar);
                    } else if (sidecar.mAlive) {
                        walk.mCallers.count("sidecar released");
                        sidecar.kill();
                        walk.mAgenda.after(span(walk), () -> walk.startSidecar(sidecar.mName));
                    }
                });
    }

    private static void freeze(Walk walk, WalkNode node) {
        walk.mCallers.count("frozen");
        node.freeze();
        walk.mAgenda.after(span(walk), node::resume);
    }

    private static void storeOutage(Walk walk) {
        walk.mCallers.count("store down");
        walk.mStore.mDown = true;
        walk.mAgenda.after(
                span(walk),
                () -> {
                    walk.mStore.mDown = false;
                    walk.mStore.announce();
                });
    }

    private static void cut(WalkNode node, Walk walk) {
        walk.mCallers.count("links cut");
        for (WalkLink link : List.copyOf(node.mLinks.values())) {
            if (walk.chance(0.5)) {
                link.cut();
            }
        }
    }

    /** Cuts an entry off with one or two sidecars; callers still reach it, the store does not. */
    private static void island(Walk walk) {
        if (!walk.mIsland.isEmpty()) {
            return;
        }
        walk.mCallers.count("island");
        walk.mIsland.add(any(walk, walk.entries()));
        walk.mIsland.add(any(walk, walk.sidecars()));
        walk.mIsland.add(any(walk, walk.sidecars()));
        for (WalkNode node : walk.mIsland) {
            List.copyOf(node.mLinks.entrySet()).stream()
                    .filter(link -> !walk.mIsland.contains(link.getKey()))
                    .forEach(link -> link.getValue().cut());
        }
        walk.mAgenda.after(walk.mRandom.nextInt((int) MAX_ISLAND_MILLIS), walk.mIsland::clear);
    }

    private static void leave(Walk walk) {
        EntryNode entry = any(walk, walk.entries());
        walk.mCallers.count("entry leaving");
        entry.run(() -> entry.handle(new EntryEvent.LeaveRequested()));
        walk.mAgenda.after(
                span(walk),
                () -> {
                    entry.kill();
                    walk.startEntry(entry.mName);
                });
    }

    private static long span(Walk walk) {
        return 50 + walk.mRandom.nextInt(7_000);
    }

    private static <T> T any(Walk walk, List<T> nodes) {
        return nodes.get(walk.mRandom.nextInt(nodes.size()));
    }
}
