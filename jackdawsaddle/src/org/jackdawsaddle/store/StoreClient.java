package org.jackdawsaddle.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A client of the platform's key-value store.
 *
 * <p>Every future can fail with {@link org.jackdawsaddle.errors.StoreUnavailableException}; a write
 * that failed in this way may have taken effect.
 */
public interface StoreClient {
    /**
     * The response to a watch.
     *
     * @param position the position of the store, to be passed to the next watch
     * @param values the current values of the keys that changed; absent if a key was removed
     */
    record Changes(long position, List<StoreValue> values) {}

    /** Reads the value of a key; the result is absent if the key has no value. */
    CompletableFuture<StoreValue> read(String key);

    /**
     * Replaces the value of a key if the key still has the expected version.
     *
     * @param expectedVersion the version to replace, 0 for a key without a value
     * @param leaseMillis the time after which the store removes the value, empty to keep it
     * @return the new version, or empty if the key has another version
     */
    CompletableFuture<Optional<Long>> compareAndSet(
            String key, long expectedVersion, String value, Optional<Long> leaseMillis);

    /**
     * Waits for changes after the given position to keys with the given prefix.
     *
     * @param position the position of the previous response, or 0 for all current values; a store
     *     that has not reached it, as after a restart, returns all current values too
     * @param waitMillis the time after which the store responds without changes
     */
    CompletableFuture<Changes> watch(String prefix, long position, long waitMillis);
}
