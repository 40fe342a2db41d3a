package org.jackdawsaddle.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service, as this library uses it.
 *
 * <p>Every future may end with {@link org.jackdawsaddle.errors.StoreUnavailableException}; a write
 * that ended so may have taken effect.
 */
public interface StoreClient {
    /** The answer to a watch. */
    record Changes(long position, List<StoreValue> values) {}

    /** Reads one key; the value is absent where the key has none. */
    CompletableFuture<StoreValue> read(String key);

    /**
     * Writes a value if the key still has the expected version.
     *
     * @param expectedVersion the version to replace, 0 for a key without a value
     * @param leaseMillis the time after which the store removes the value, empty to keep it
     * @return the new version, or empty if the key has another version
     */
    CompletableFuture<Optional<Long>> compareAndSet(
            String key, long expectedVersion, String value, Optional<Long> leaseMillis);

    /**
     * Waits for changes of keys with the prefix after the given position.
     *
     * @param position the position of the previous answer, 0 for all present values
     * @param waitMillis how long the store may hold the call
     */
    CompletableFuture<Changes> watch(String prefix, long position, long waitMillis);
}
