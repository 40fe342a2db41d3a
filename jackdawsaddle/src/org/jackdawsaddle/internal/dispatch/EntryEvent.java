package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PeerMessage;
import org.jackdawsaddle.internal.message.SidecarMessage;
import org.jackdawsaddle.job.JobRequest;
import org.jackdawsaddle.job.SubmissionId;
import org.jackdawsaddle.store.StoreValue;

/** Whatever the decisions of an entry react to. */
public sealed interface EntryEvent {

    /**
     * A caller submits a job.
     *
     * @param token the number by which the caller is answered
     * @param request the job, with a deadline of 0 to use that of its kind
     */
    record CallerSubmitted(long token, JobRequest request) implements EntryEvent {}

    /**
     * A caller asks for the state of a job.
     *
     * @param token the number by which the caller is answered
     * @param id the submission
     * @param service the service of its kind
     */
    record CallerQueried(long token, SubmissionId id, String service) implements EntryEvent {}

    /**
     * A caller cancels a job.
     *
     * @param id the submission
     * @param service the service of its kind
     */
    record CallerCancelled(SubmissionId id, String service) implements EntryEvent {}

    /**
     * A sidecar has connected or has announced a change.
     *
     * @param hello its announcement
     */
    record SidecarAnnounced(SidecarMessage.SidecarHello hello) implements EntryEvent {}

    /**
     * The connection to a sidecar has ended.
     *
     * @param sidecar the process at its other end
     */
    record SidecarLost(NodeId sidecar) implements EntryEvent {}

    /**
     * A message of a sidecar has arrived.
     *
     * @param sidecar the sender
     * @param message the message
     */
    record SidecarSent(NodeId sidecar, SidecarMessage message) implements EntryEvent {}

    /**
     * The connection to a peer is open.
     *
     * @param peer the process at its other end
     */
    record PeerConnected(NodeId peer) implements EntryEvent {}

    /**
     * The connection to a peer has ended or could not be opened.
     *
     * @param peer the process that was wanted at its other end
     */
    record PeerLost(NodeId peer) implements EntryEvent {}

    /**
     * A message of a peer has arrived.
     *
     * @param peer the sender
     * @param message the message
     */
    record PeerSent(NodeId peer, PeerMessage message) implements EntryEvent {}

    /**
     * Values of the store have been read.
     *
     * @param values the values as the store has them
     */
    record StoreRead(List<StoreValue> values) implements EntryEvent {
        /** Copies the list. */
        public StoreRead {
            values = List.copyOf(values);
        }
    }

    /**
     * The store has answered a write.
     *
     * @param key the key
     * @param version the new version, or empty if the key had another version than expected
     */
    record StoreWritten(String key, Optional<Long> version) implements EntryEvent {}

    /**
     * The store has not answered a call; a write may have taken effect.
     *
     * @param key the key
     */
    record StoreFailed(String key) implements EntryEvent {}

    /** Time has passed. */
    record Tick() implements EntryEvent {}

    /** The process has been asked to shut down. */
    record LeaveRequested() implements EntryEvent {}
}
