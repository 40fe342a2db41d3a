package org.jackdawsaddle.internal.pool;

import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.pool.TargetIncarnation;

/** What a sidecar of a pool wants done. */
public sealed interface PoolSidecarAction {
    /** Send a message to an entry. */
    record SendToEntry(NodeId entry, PoolMessage message) implements PoolSidecarAction {}

    /** Close the connection to an entry that has been silent, and open another. */
    record DropEntry(NodeId entry) implements PoolSidecarAction {}

    /** Keep a life of the target for later lives of this sidecar. */
    record SaveTarget(TargetIncarnation target) implements PoolSidecarAction {}

    /** Order the target to start a run. */
    record StartRun(
            TargetIncarnation target, Run run, String payload, long leaseUntil, long fencingToken)
            implements PoolSidecarAction {}

    /** Order the target to stop a run. */
    record StopRun(TargetIncarnation target, Run run, long fencingToken)
            implements PoolSidecarAction {}

    /** Extend leases, confirm ends and ask for the lists. */
    record Poll(
            TargetIncarnation target,
            long number,
            Optional<Long> leaseUntil,
            long ackCursor,
            long waitMillis,
            long fencingToken)
            implements PoolSidecarAction {}
}
