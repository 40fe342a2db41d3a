package org.jackdawsaddle.internal.sidecar;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.config.Demand;
import org.jackdawsaddle.internal.message.EntryMessage;
import org.jackdawsaddle.internal.message.TaskKey;

/** An input of {@link SidecarCore}. */
public sealed interface SidecarEvent {

    /**
     * The target has sent its announcement, for the first time or again.
     *
     * @param announcement the announcement
     */
    record TargetAnnounced(Announcement announcement) implements SidecarEvent {}

    /** The target has withdrawn its announcement and accepts no new tasks. */
    record TargetWithdrawn() implements SidecarEvent {}

    /**
     * A call to the target has ended, with an answer or an error.
     *
     * @param task the task
     * @param outcome the outcome of the call
     * @param body the response body, or a description of the error if there was no response
     * @param runMicros the duration of the call, in microseconds
     */
    record TargetAnswered(TaskKey task, Outcome outcome, String body, long runMicros)
            implements SidecarEvent {
        /** The outcome of a call to the target. */
        public enum Outcome {
            /** The target answered with a success status. */
            COMPLETED,
            /**
             * The target answered with an error status, or no response arrived; the task may have
             * run.
             */
            FAILED,
            /** The connection could not be opened; nothing was sent, so the task has not run. */
            REFUSED
        }
    }

    /**
     * An entry has identified itself on a new connection.
     *
     * @param entry the entry
     */
    record EntryConnected(NodeId entry) implements SidecarEvent {}

    /**
     * The connection to an entry has closed, or a newer one has replaced it; no further message
     * arrives on it.
     *
     * @param entry the entry
     */
    record EntryLost(NodeId entry) implements SidecarEvent {}

    /**
     * A message from an entry has arrived.
     *
     * @param entry the sender
     * @param message the message
     */
    record EntrySent(NodeId entry, EntryMessage message) implements SidecarEvent {}

    /** The periodic timer has fired. */
    record Tick() implements SidecarEvent {}

    /** The sidecar process has been asked to shut down. */
    record LeaveRequested() implements SidecarEvent {}

    /**
     * A target's description of itself.
     *
     * @param target the target's name
     * @param service the service that the target runs
     * @param address the address at which the target accepts tasks, as host:port
     * @param slots the maximum number of concurrent tasks
     * @param connections the maximum number of connections that the target accepts
     * @param capacity the resources of the target's machine
     * @param used the resources in use on the machine, as it reports them; a few seconds out of
     *     date
     */
    record Announcement(
            String target,
            String service,
            String address,
            int slots,
            int connections,
            Demand capacity,
            Demand used) {
        /** Replaces missing amounts by {@link Demand#NONE}. */
        public Announcement {
            capacity = capacity == null ? Demand.NONE : capacity;
            used = used == null ? Demand.NONE : used;
        }
    }
}
