package org.jackdawsaddle.internal.sidecar;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.EntryMessage;
import org.jackdawsaddle.internal.message.TaskKey;

/** Whatever the decisions of a sidecar react to. */
public sealed interface SidecarEvent {

    /**
     * A target has announced itself, or has repeated or changed its announcement.
     *
     * @param announcement what it says
     */
    record TargetAnnounced(Announcement announcement) implements SidecarEvent {}

    /** The target has asked for no more work. */
    record TargetWithdrawn() implements SidecarEvent {}

    /**
     * The target has ended a task.
     *
     * @param task the task
     * @param outcome how it ended
     * @param body the answer, or the reason of a failure
     * @param runMicros how long it took, in microseconds
     */
    record TargetAnswered(TaskKey task, Outcome outcome, String body, long runMicros)
            implements SidecarEvent {
        /** How a call to the target ended. */
        public enum Outcome {
            /** The target gave an answer. */
            COMPLETED,
            /** The target gave an error, or none is known to have arrived. */
            FAILED,
            /** The connection was refused, so that nothing was sent. */
            REFUSED
        }
    }

    /**
     * The connection to an entry is open.
     *
     * @param entry the process at its other end
     */
    record EntryConnected(NodeId entry) implements SidecarEvent {}

    /**
     * The connection to an entry has ended; nothing more of it will arrive.
     *
     * @param entry the process at its other end
     */
    record EntryLost(NodeId entry) implements SidecarEvent {}

    /**
     * A message of an entry has arrived.
     *
     * @param entry the sender
     * @param message the message
     */
    record EntrySent(NodeId entry, EntryMessage message) implements SidecarEvent {}

    /** Time has passed. */
    record Tick() implements SidecarEvent {}

    /** The process has been asked to shut down. */
    record LeaveRequested() implements SidecarEvent {}

    /**
     * What a target says of itself.
     *
     * @param target its name
     * @param service the service that it runs
     * @param address where it takes tasks, as host:port
     * @param slots the most tasks at a time
     * @param connections the most connections that it accepts
     * @param capacity what its machine has
     * @param used what its machine reports as in use, some seconds late
     */
    record Announcement(
            String target,
            String service,
            String address,
            int slots,
            int connections,
            Demand capacity,
            Demand used) {
        /** Replaces absent amounts by none. */
        public Announcement {
            capacity = capacity == null ? Demand.NONE : capacity;
            used = used == null ? Demand.NONE : used;
        }
    }
}
