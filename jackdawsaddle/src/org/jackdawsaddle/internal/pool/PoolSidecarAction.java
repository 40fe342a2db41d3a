package org.jackdawsaddle.internal.pool;

import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.pool.TargetLife;

/** What a sidecar of a pool wants done. */
public sealed interface PoolSidecarAction {
    /** Send a message to an entry. */
    record SendToEntry(NodeId entry, PoolMessage message) implements PoolSidecarAction {}

    /** Close the connection to an entry that has been silent, and open another. */
    record DropEntry(NodeId entry) implements PoolSidecarAction {}

    /** Keep a life of the target for later lives of this sidecar. */
    record KeepTarget(TargetLife life) implements PoolSidecarAction {}

    /** Order the target to start a run. */
    record StartRun(TargetLife life, Run run, String payload, long leaseUntil, long fence)
            implements PoolSidecarAction {}

    /** Order the target to stop a run. */
    record StopRun(TargetLife life, Run run, long fence) implements PoolSidecarAction {}

    /** Extend leases, confirm ends and ask for the lists. */
    record Poll(
            TargetLife life,
            long number,
            Optional<Long> leaseUntil,
            long confirmed,
            long waitMillis,
            long fence)
            implements PoolSidecarAction {}
}
