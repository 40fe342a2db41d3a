package org.jackdawsaddle.internal.pool.sidecar;

import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.pool.TargetIncarnation;

/** A side effect that {@link PoolSidecarCore} requests. */
public sealed interface PoolSidecarAction {
    /** Send a message to an entry. */
    record SendToEntry(NodeId entry, PoolMessage message) implements PoolSidecarAction {}

    /** Close the connection to an entry that has timed out, and reconnect. */
    record DisconnectEntry(NodeId entry) implements PoolSidecarAction {}

    /** Save the target's incarnation for later processes of this sidecar. */
    record SaveTarget(TargetIncarnation target) implements PoolSidecarAction {}

    /**
     * Order the target to start a run.
     *
     * @param leaseUntil the end of the lease to request for all runs, on the target's clock, in
     *     milliseconds
     */
    record StartRun(
            TargetIncarnation target, Run run, String payload, long leaseUntil, long fencingToken)
            implements PoolSidecarAction {}

    /** Order the target to stop a run. */
    record StopRun(TargetIncarnation target, Run run, long fencingToken)
            implements PoolSidecarAction {}

    /**
     * Renew the lease of all runs, acknowledge ended runs and request a snapshot.
     *
     * @param number identifies the poll; rises with each poll
     * @param leaseUntil the end of the lease to request, on the target's clock, in milliseconds;
     *     empty to leave it unchanged
     * @param ackCursor the acknowledgement cursor: the target may forget ended runs up to this
     *     number
     * @param waitMillis how long the target may delay the answer until a run ends, in milliseconds
     */
    record Poll(
            TargetIncarnation target,
            long number,
            Optional<Long> leaseUntil,
            long ackCursor,
            long waitMillis,
            long fencingToken)
            implements PoolSidecarAction {}
}
