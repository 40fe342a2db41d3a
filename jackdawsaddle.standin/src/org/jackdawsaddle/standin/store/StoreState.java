package org.jackdawsaddle.standin.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.jackdawsaddle.store.StoreValue;

/** The values of the stand-in store with their versions, leases and positions in the change log. */
public final class StoreState {
    /**
     * A value, or the trace of an expired one.
     *
     * @param version 0 after the lease has expired
     * @param expiresAt when the lease expires, in milliseconds since the epoch
     * @param position the position of its last change in the change log
     */
    private record Stored(long version, String value, long expiresAt, long position) {}

    private final TreeMap<String, Stored> mValues = new TreeMap<>();
    private long mPosition;

    /** Returns the position of the latest change. */
    public synchronized long position() {
        return mPosition;
    }

    /** Reads a key; the result has version 0 if the key has no value. */
    public synchronized StoreValue read(String key) {
        Stored stored = mValues.get(key);
        return stored == null
                ? new StoreValue(key, 0, "")
                : new StoreValue(key, stored.version(), stored.value());
    }

    /**
     * Writes a value if the key has the expected version.
     *
     * @param expectedVersion 0 if the key must have no value
     * @param expiresAt when the lease expires, in milliseconds since the epoch; {@link
     *     Long#MAX_VALUE} for no lease
     * @return the new version; empty if the key has another version
     */
    public synchronized Optional<Long> compareAndSet(
            String key, long expectedVersion, String value, long expiresAt) {
        if (read(key).version() != expectedVersion) {
            return Optional.empty();
        }
        mPosition++;
        mValues.put(key, new Stored(mPosition, value, expiresAt, mPosition));
        return Optional.of(mPosition);
    }

    /**
     * Removes the values whose lease has expired.
     *
     * @param now the current time in milliseconds since the epoch
     * @return whether there were any
     */
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

    /**
     * Returns the keys with the prefix that have changed since the position; all keys with the
     * prefix if the store has not reached the position, as after a restart.
     */
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
