package org.jackdawsaddle.internal.pool;

import java.util.ArrayDeque;
import java.util.Deque;

/** One direction of a connection; it queues messages while it is partitioned. */
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

    void restore() {
        mPartitioned = false;
        long at = 1;
        while (!mQueued.isEmpty()) {
            mSimulation.after(at++, mQueued.poll());
        }
    }
}
