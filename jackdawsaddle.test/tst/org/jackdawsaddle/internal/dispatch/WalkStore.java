package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.standin.store.StoreState;
import org.jackdawsaddle.store.StoreValue;

/** The platform's store of a walk: slow, down, or with answers lost after the write. */
final class WalkStore {
    private static final long TIMEOUT_MILLIS = 2_000;

    final StoreState mState = new StoreState();
    private final Walk mWalk;
    boolean mDown;

    WalkStore(Walk walk) {
        mWalk = walk;
    }

    void write(EntryNode entry, EntryAction.WriteStore write) {
        boolean lost = mWalk.chance(mWalk.mFaultShare / 10);
        boolean late = mWalk.chance(mWalk.mFaultShare / 10);
        mWalk.mAgenda.after(
                mWalk.delay() + (late ? TIMEOUT_MILLIS + 500 : 0),
                () -> {
                    if (unreachable(entry)) {
                        fail(entry, write.key(), TIMEOUT_MILLIS);
                        return;
                    }
                    long expiresAt =
                            write.leaseMillis()
                                    .map(millis -> mWalk.mAgenda.now() + millis)
                                    .orElse(Long.MAX_VALUE);
                    Optional<Long> version =
                            mState.compareAndSet(
                                    write.key(), write.expectedVersion(), write.value(), expiresAt);
                    if (lost || late) {
                        fail(entry, write.key(), lost ? TIMEOUT_MILLIS : 0);
                    } else {
                        answer(entry, new EntryEvent.StoreWritten(write.key(), version));
                    }
                    announce();
                });
    }

    void read(EntryNode entry, String key) {
        mWalk.mAgenda.after(
                mWalk.delay(),
                () -> {
                    if (unreachable(entry)) {
                        fail(entry, key, TIMEOUT_MILLIS);
                    } else {
                        StoreValue value = mState.read(key);
                        answer(entry, new EntryEvent.StoreRead(List.of(value)));
                    }
                });
    }

    /** Tells every entry's watch of all values, each some time later. */
    void announce() {
        if (mDown) {
            return;
        }
        for (EntryNode entry : mWalk.entries()) {
            long lag = mWalk.delay() + (mWalk.chance(mWalk.mFaultShare / 5) ? 1_500 : 0);
            mWalk.mAgenda.after(lag, () -> watch(entry));
        }
    }

    void expire() {
        if (!mDown && mState.expire(mWalk.mAgenda.now())) {
            announce();
        }
    }

    private boolean unreachable(EntryNode entry) {
        return mDown || mWalk.mIsland.contains(entry);
    }

    private void watch(EntryNode entry) {
        if (!unreachable(entry)) {
            List<StoreValue> values = mState.changes(StoreKeys.PREFIX, 0);
            entry.run(() -> entry.handle(new EntryEvent.StoreRead(values)));
        }
    }

    private void answer(EntryNode entry, EntryEvent event) {
        mWalk.mAgenda.after(mWalk.delay(), () -> entry.run(() -> entry.handle(event)));
    }

    private void fail(EntryNode entry, String key, long after) {
        mWalk.mAgenda.after(
                after, () -> entry.run(() -> entry.handle(new EntryEvent.StoreFailed(key))));
    }
}
