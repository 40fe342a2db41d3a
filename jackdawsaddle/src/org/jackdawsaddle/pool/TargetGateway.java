package org.jackdawsaddle.pool;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Sends orders from a sidecar to the target beside it. An order has no effect if its fencing token
 * is lower than one that the target has seen.
 *
 * <p>The futures complete on any thread, and never exceptionally.
 */
public interface TargetGateway {

    /** The outcome of a start order. */
    enum StartReply {
        /** The run has started, now or by an earlier order. */
        STARTED,
        /**
         * The fencing token is lower than one that the target has seen; the order had no effect.
         */
        FENCED,
        /**
         * The target has seen this run end, or a higher run of the task; the order had no effect.
         */
        OUTDATED,
        /** The target has not enough free capacity; the order had no effect. */
        NO_ROOM,
        /**
         * The target refused the order for another reason, for example because the requested lease
         * had expired or the target is unhealthy; the order had no effect.
         */
        REFUSED,
        /** No target accepts connections at the address; the order had no effect. */
        UNREACHABLE,
        /** There was no usable answer: the order may have been executed, or may be later. */
        UNANSWERED
    }

    /** The outcome of a poll. */
    sealed interface PollReply {
        /** The target has answered. */
        record Answered(RunSnapshot snapshot) implements PollReply {}

        /** The fencing token is lower than one that the target has seen; the poll had no effect. */
        record Fenced() implements PollReply {}

        /** No target accepts connections at the address. */
        record Unreachable() implements PollReply {}

        /** There was no usable answer. */
        record Unanswered() implements PollReply {}
    }

    /**
     * Starts a run.
     *
     * @param task the name of the task
     * @param run the number of the run among those of the task, from 1
     * @param leaseUntil the end of the lease that is requested for all runs of the target, on the
     *     target's clock, in milliseconds; the target stops them then
     */
    CompletableFuture<StartReply> start(
            TargetIncarnation target,
            String task,
            int run,
            String payload,
            long leaseUntil,
            long fencingToken);

    /**
     * Stops a run, or prevents it from starting later.
     *
     * @return whether the target has confirmed this
     */
    CompletableFuture<Boolean> stop(
            TargetIncarnation target, String task, int run, long fencingToken);

    /**
     * Renews the lease of all runs, acknowledges ended runs, and requests a snapshot.
     *
     * @param leaseUntil the end of the lease to request, on the target's clock, in milliseconds;
     *     empty to leave it unchanged
     * @param ackCursor the acknowledgement cursor: the target may forget ended runs up to this
     *     number
     * @param waitMillis how long the answer may be delayed until a run ends, in milliseconds
     */
    CompletableFuture<PollReply> poll(
            TargetIncarnation target,
            Optional<Long> leaseUntil,
            long ackCursor,
            long waitMillis,
            long fencingToken);
}
