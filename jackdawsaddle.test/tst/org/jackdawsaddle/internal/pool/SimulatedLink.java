package org.jackdawsaddle.internal.pool;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One direction of the network between an entry and a sidecar. Messages may overtake each other; a
 * partition delays them until its end.
 */
final class SimulatedLink {
    final Deque<Runnable> mQueued = new ArrayDeque<>();
    boolean mPartitioned;
    private final PoolSimulation mSimulation;

    SimulatedLink(PoolSimulation simulation) {
        mSimulation = simulation;
    }

    void deliver(Runnable delivery) {
        if (mPartitioned) {
            mQueued.add(delivery);
        } else {
            mSimulation.after(1 + mSimulation.mRandom.nextInt(2), delivery);
        }
    }

    /** Ends the partition, and delivers the messages that have waited, 1 ms apart. */
    void restore() {
        mPartitioned = false;
        long at = 1;
        while (!mQueued.isEmpty()) {
            mSimulation.after(at++, mQueued.poll());
        }
    }
}
