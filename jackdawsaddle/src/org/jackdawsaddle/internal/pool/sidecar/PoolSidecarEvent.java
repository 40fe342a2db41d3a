package org.jackdawsaddle.internal.pool.sidecar;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.pool.TargetGateway.PollReply;
import org.jackdawsaddle.pool.TargetGateway.StartReply;
import org.jackdawsaddle.pool.TargetIncarnation;

/** An event that {@link PoolSidecarCore} handles. */
public sealed interface PoolSidecarEvent {
    /** The target has sent an announcement. */
    record TargetAnnounced(TargetIncarnation target) implements PoolSidecarEvent {}

    /** The store has returned the incarnation that an earlier process of this sidecar saved. */
    record TargetLoaded(TargetIncarnation target) implements PoolSidecarEvent {}

    /**
     * An attempt to save the target's incarnation has ended; {@code saved} is false if it is
     * unknown whether it was saved.
     */
    record TargetSaved(TargetIncarnation target, boolean saved) implements PoolSidecarEvent {}

    /** The target has shut down cleanly; {@code targetName} is its name. */
    record TargetWithdrawn(String targetName) implements PoolSidecarEvent {}

    /** A start order was answered, or has failed or timed out. */
    record StartAnswered(Run run, StartReply reply) implements PoolSidecarEvent {}

    /**
     * A stop order was answered, or has failed or timed out; {@code confirmed} is whether the
     * target has answered that the run has ended and cannot start later.
     */
    record StopAnswered(Run run, boolean confirmed) implements PoolSidecarEvent {}

    /** A poll was answered, or has failed or timed out. */
    record PollAnswered(TargetIncarnation target, long number, PollReply reply)
            implements PoolSidecarEvent {}

    /** The connection to an entry is ready for messages. */
    record EntryConnected(NodeId entry) implements PoolSidecarEvent {}

    /** The connection to an entry was closed or replaced by a newer one. */
    record EntryLost(NodeId entry) implements PoolSidecarEvent {}

    /** A message from an entry has arrived. */
    record EntrySent(NodeId entry, PoolMessage message) implements PoolSidecarEvent {}

    /** The next tick is due. */
    record Tick() implements PoolSidecarEvent {}

    /** The process is about to stop and must accept no new tasks. */
    record LeaveRequested() implements PoolSidecarEvent {}
}
