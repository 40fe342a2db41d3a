package org.jackdawsaddle.standin.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.jackdawsaddle.store.StoreValue;

/** The values of the stand-in store: versions, leases and the order of changes. */
public final class StoreState {
    private record Stored(long version, String value, long expiresAt, long position) {}

    private final TreeMap<String, Stored> mValues = new TreeMap<>();
    private long mPosition;

    /** Returns the position of the latest change. */
    public synchronized long position() {
        return mPosition;
    }

    /** Reads a key; the value is absent where the key has none. */
    public synchronized StoreValue read(String key) {
        Stored stored = mValues.get(key);
        return stored == null
                ? new StoreValue(key, 0, "")
                : new StoreValue(key, stored.version(), stored.value());
    }

    /** Writes a value if the key has the expected version; returns the new version. */
    public synchronized Optional<Long> compareAndSet(
            String key, long expectedVersion, String value, long expiresAt) {
        if (read(key).version() != expectedVersion) {
            return Optional.empty();
        }
        mPosition++;
        mValues.put(key, new Stored(mPosition, value, expiresAt, mPosition));
        return Optional.of(mPosition);
    }

    /** Removes the values whose lease has lapsed; returns whether there were any. */
    public synchronized boolean expire(long now) {
        boolean expired = false;
        for (String key : List.copyOf(mValues.keySet())) {
            Stored stored = mValues.get(key);
            if (stored.version() > 0 && stored.expiresAt() <= now) {
                mPosition++;
                mValues.put(key, new Stored(0, "", Long.MAX_VALUE, mPosition));
                expired = true;
            }
        }
        return expired;
    }

    /** Returns the keys with the prefix that changed after the position. */
    public synchronized List<StoreValue> changes(String prefix, long position) {
        long after = position > mPosition ? 0 : position;
        List<StoreValue> changes = new ArrayList<>();
        mValues.tailMap(prefix)
                .forEach((key, stored) -> {
                    if (key.startsWith(prefix) && stored.position() > after) {
                        changes.add(new StoreValue(key, stored.version(), stored.value()));
                    }
                });
        return changes;
    }
}
