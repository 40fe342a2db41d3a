package org.jackdawsaddle.pool;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Persists the target's incarnation across restarts of its sidecar, so that a new sidecar process
 * need not wait for the next announcement. The futures never complete exceptionally.
 */
public interface TargetStore {

    /** Returns the incarnation saved last; empty if there is none or the store cannot be read. */
    CompletableFuture<Optional<TargetIncarnation>> load();

    /**
     * Replaces the saved incarnation; the result is false if it is unknown whether it was saved.
     */
    CompletableFuture<Boolean> save(TargetIncarnation target);
}
