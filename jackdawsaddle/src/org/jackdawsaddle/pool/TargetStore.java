package org.jackdawsaddle.pool;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Keeps what a sidecar knows of its target beyond the sidecar's own life, so that a new life need
 * not wait for the next announcement. Futures never end exceptionally.
 */
public interface TargetStore {

    /** Returns the life that was kept last; empty if there is none or it cannot be had now. */
    CompletableFuture<Optional<TargetIncarnation>> load();

    /** Keeps a life in place of the one before; tells whether that is certain. */
    CompletableFuture<Boolean> save(TargetIncarnation target);
}
