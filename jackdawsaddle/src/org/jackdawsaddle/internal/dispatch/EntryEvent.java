package org.jackdawsaddle.internal.dispatch;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PeerMessage;
import org.jackdawsaddle.internal.message.SidecarMessage;
import org.jackdawsaddle.job.JobRequest;
import org.jackdawsaddle.job.SubmissionId;
import org.jackdawsaddle.store.StoreValue;

/** An event that the decision logic of an entry handles. */
public sealed interface EntryEvent {

    /**
     * A caller submits a job.
     *
     * @param token the number that the answer to the caller will carry
     * @param request the job; a deadline of 0 stands for the timeout of its kind
     */
    record CallerSubmitted(long token, JobRequest request) implements EntryEvent {}

    /**
     * A caller asks for the state of a job.
     *
     * @param token the number that the answer to the caller will carry
     * @param id the submission id of the job
     * @param service the service of the job's kind
     */
    record CallerQueried(long token, SubmissionId id, String service) implements EntryEvent {}

    /**
     * A caller cancels a job.
     *
     * @param id the submission id of the job
     * @param service the service of the job's kind
     */
    record CallerCancelled(SubmissionId id, String service) implements EntryEvent {}

    /**
     * A sidecar has connected or has announced a change.
     *
     * @param hello the announcement
     */
    record SidecarAnnounced(SidecarMessage.SidecarHello hello) implements EntryEvent {}

    /**
     * The connection to a sidecar has closed, or a newer one has replaced it.
     *
     * @param sidecar the process at the other end
     */
    record SidecarLost(NodeId sidecar) implements EntryEvent {}

    /**
     * A message from a sidecar has arrived.
     *
     * @param sidecar the sender
     * @param message the message
     */
    record SidecarSent(NodeId sidecar, SidecarMessage message) implements EntryEvent {}

    /**
     * A peer has identified itself, on the connection opened to it, as the expected incarnation.
     *
     * @param peer the process at the other end
     */
    record PeerConnected(NodeId peer) implements EntryEvent {}

    /**
     * The connection opened to a peer has closed. A failed attempt to connect raises no event.
     *
     * @param peer the process at the other end
     */
    record PeerLost(NodeId peer) implements EntryEvent {}

    /**
     * A message from a peer has arrived.
     *
     * @param peer the sender
     * @param message the message
     */
    record PeerSent(NodeId peer, PeerMessage message) implements EntryEvent {}

    /**
     * Values have been read from the store, on request or because they have changed.
     *
     * @param values the values; a key that has none is given as an absent value
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
     * A store call has failed or timed out; a write may have taken effect.
     *
     * @param key the key
     */
    record StoreFailed(String key) implements EntryEvent {}

    /** The periodic timer has fired. */
    record Tick() implements EntryEvent {}

    /** The process has been asked to shut down. */
    record LeaveRequested() implements EntryEvent {}
}
