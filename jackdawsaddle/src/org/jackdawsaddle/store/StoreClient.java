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
     * @param position the position from which to continue the watch
     * @param values the values that changed
     */
    record Changes(long position, List<StoreValue> values) {}

    /** Reads the value of a key; it is absent if the key has no value. */
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
     * @param position the position of the previous response, or 0 for all current values
     * @param waitMillis the longest time that the store may wait for a change
     */
    CompletableFuture<Changes> watch(String prefix, long position, long waitMillis);
}
