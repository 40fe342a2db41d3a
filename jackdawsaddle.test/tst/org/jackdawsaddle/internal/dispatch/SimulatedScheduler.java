package org.jackdawsaddle.internal.dispatch;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The event queue and clock of a discrete-event simulation; work at the same time runs in the order
 * in which it was added.
 */
final class SimulatedScheduler {
    private record Item(long at, long number, Runnable work) {}

    private final PriorityQueue<Item> mItems =
            new PriorityQueue<>(Comparator.comparingLong(Item::at).thenComparingLong(Item::number));
    private long mLastNumber;
    private long mNow;

    SimulatedScheduler(long start) {
        mNow = start;
    }

    long now() {
        return mNow;
    }

    void at(long time, Runnable work) {
        mLastNumber++;
        mItems.add(new Item(Math.max(time, mNow), mLastNumber, work));
    }

    void after(long millis, Runnable work) {
        at(mNow + millis, work);
    }

    /**
     * Advances the clock to the next work and runs it; returns false if there is none up to the
     * limit, in milliseconds since the epoch.
     */
    boolean step(long limit) {
        if (mItems.isEmpty() || mItems.peek().at() > limit) {
            return false;
        }
        Item item = mItems.poll();
        mNow = item.at();
        item.work().run();
        return true;
    }
}
