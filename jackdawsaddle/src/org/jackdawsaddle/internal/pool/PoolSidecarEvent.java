package org.jackdawsaddle.internal.pool;

import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.PoolMessage.Run;
import org.jackdawsaddle.pool.RunSnapshot;
import org.jackdawsaddle.pool.TargetGateway.StartReply;
import org.jackdawsaddle.pool.TargetIncarnation;

/** What a sidecar of a pool decides upon. */
public sealed interface PoolSidecarEvent {
    /** The target has announced itself. */
    record TargetAnnounced(TargetIncarnation target) implements PoolSidecarEvent {}

    /** An earlier life of this sidecar had kept this life of the target. */
    record TargetLoaded(TargetIncarnation target) implements PoolSidecarEvent {}

    /** A life of the target was kept, or may not have been. */
    record TargetSaved(TargetIncarnation target, boolean saved) implements PoolSidecarEvent {}

    /** The target has gone in order. */
    record TargetWithdrawn(String id) implements PoolSidecarEvent {}

    /** An order to start has ended. */
    record StartAnswered(Run run, StartReply reply) implements PoolSidecarEvent {}

    /** An order to stop has ended. */
    record StopAnswered(Run run, boolean answered) implements PoolSidecarEvent {}

    /** A call for the lists has ended; without lists if it was not answered. */
    record PollAnswered(TargetIncarnation target, long number, Optional<RunSnapshot> snapshot)
            implements PoolSidecarEvent {}

    /** An entry can be sent messages. */
    record EntryConnected(NodeId entry) implements PoolSidecarEvent {}

    /** The connection to an entry has ended. */
    record EntryLost(NodeId entry) implements PoolSidecarEvent {}

    /** An entry has sent a message. */
    record EntrySent(NodeId entry, PoolMessage message) implements PoolSidecarEvent {}

    /** Time has passed. */
    record Tick() implements PoolSidecarEvent {}

    /** The process is to stop: no new work. */
    record LeaveRequested() implements PoolSidecarEvent {}
}
