package org.jackdawsaddle.pool;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** How a sidecar gives orders to the target beside it. Futures never end exceptionally. */
public interface TargetGateway {

    /** What a target makes of an order to start. */
    enum StartReply {
        /** The run has started, or had started before. */
        STARTED,
        /** The fence of the order is lower than one seen before; nothing was done. */
        FENCED,
        /** The target has seen this run end, or a higher one; nothing was done. */
        OUTDATED,
        /** There is no room for it; nothing was done. */
        NO_ROOM,
        /** The lease in the order had ended, or the target is unhealthy; nothing was done. */
        REFUSED,
        /** No such target takes calls there; nothing was done. */
        UNREACHABLE,
        /** There was no answer: the order may have been carried out or may be later. */
        UNANSWERED
    }

    /**
     * Starts a run.
     *
     * @param leaseUntil when the target may stop everything, on its own clock, in milliseconds
     * @param fencingToken the target ignores orders of lower fences than it has seen
     */
    CompletableFuture<StartReply> start(
            TargetIncarnation target,
            String task,
            int run,
            String payload,
            long leaseUntil,
            long fencingToken);

    /** Stops a run, or bars it from starting; tells whether the target has answered so. */
    CompletableFuture<Boolean> stop(
            TargetIncarnation target, String task, int run, long fencingToken);

    /**
     * Extends the lease of everything that runs, confirms ends, and asks for the lists.
     *
     * @param leaseUntil the end of the lease on the target's clock; empty to leave it
     * @param ackCursor the number of the last end to forget
     * @param waitMillis how long the answer may wait for an end, in milliseconds
     */
    CompletableFuture<Optional<RunSnapshot>> poll(
            TargetIncarnation target,
            Optional<Long> leaseUntil,
            long ackCursor,
            long waitMillis,
            long fencingToken);
}
