package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.standin.store.StoreState;
import org.jackdawsaddle.store.StoreValue;

/**
 * The platform's store of a simulation. Calls may be slow, a write may go unanswered although it
 * takes effect, at once or after the timeout, and the store may be down.
 */
final class SimulatedStore {
    private static final long TIMEOUT_MILLIS = 2_000;

    final StoreState mState = new StoreState();
    private final Simulation mSimulation;
    boolean mDown;

    SimulatedStore(Simulation simulation) {
        mSimulation = simulation;
    }

    void write(SimulatedEntry entry, EntryAction.WriteStore write) {
        boolean answerLost = mSimulation.chance(mSimulation.mFaultRate / 10);
        boolean writeLate = mSimulation.chance(mSimulation.mFaultRate / 10);
        mSimulation.mScheduler.after(
                mSimulation.delay() + (writeLate ? TIMEOUT_MILLIS + 500 : 0),
                () -> {
                    if (unreachable(entry)) {
                        fail(entry, write.key(), TIMEOUT_MILLIS);
                        return;
                    }
                    long expiresAt =
                            write.leaseMillis()
                                    .map(millis -> mSimulation.mScheduler.now() + millis)
                                    .orElse(Long.MAX_VALUE);
                    Optional<Long> version =
                            mState.compareAndSet(
                                    write.key(), write.expectedVersion(), write.value(), expiresAt);
                    if (answerLost || writeLate) {
                        fail(entry, write.key(), answerLost ? TIMEOUT_MILLIS : 0);
                    } else {
                        answer(entry, new EntryEvent.StoreWritten(write.key(), version));
                    }
                    notifyWatches();
                });
    }

    void read(SimulatedEntry entry, String key) {
        mSimulation.mScheduler.after(
                mSimulation.delay(),
                () -> {
                    if (unreachable(entry)) {
                        fail(entry, key, TIMEOUT_MILLIS);
                    } else {
                        StoreValue value = mState.read(key);
                        answer(entry, new EntryEvent.StoreRead(List.of(value)));
                    }
                });
    }

    /** Passes all values to the watch of every entry, each after its own delay. */
    void notifyWatches() {
        if (mDown) {
            return;
        }
        for (SimulatedEntry entry : mSimulation.entries()) {
            long delay =
                    mSimulation.delay()
                            + (mSimulation.chance(mSimulation.mFaultRate / 5) ? 1_500 : 0);
            mSimulation.mScheduler.after(delay, () -> notifyWatch(entry));
        }
    }

    /** Removes the values whose lease has expired, and notifies the watches if there are any. */
    void expire() {
        if (!mDown && mState.expire(mSimulation.mScheduler.now())) {
            notifyWatches();
        }
    }

    private boolean unreachable(SimulatedEntry entry) {
        return mDown || mSimulation.mIsolated.contains(entry);
    }

    private void notifyWatch(SimulatedEntry entry) {
        if (!unreachable(entry)) {
            List<StoreValue> values = mState.changes(StoreKeys.PREFIX, 0);
            entry.run(() -> entry.handle(new EntryEvent.StoreRead(values)));
        }
    }

    private void answer(SimulatedEntry entry, EntryEvent event) {
        mSimulation.mScheduler.after(
                mSimulation.delay(), () -> entry.run(() -> entry.handle(event)));
    }

    private void fail(SimulatedEntry entry, String key, long delayMillis) {
        mSimulation.mScheduler.after(
                delayMillis, () -> entry.run(() -> entry.handle(new EntryEvent.StoreFailed(key))));
    }
}
