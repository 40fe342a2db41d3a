package org.jackdawsaddle.internal.dispatch;

import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.EntryMessage;
import org.jackdawsaddle.internal.message.PeerMessage;
import org.jackdawsaddle.job.JobAnswer;

/** An action that the decision logic of an entry requests from the process. */
public sealed interface EntryAction {

    /**
     * Answer a caller.
     *
     * @param token the number of the caller's request
     * @param answer the answer
     */
    record AnswerCaller(long token, JobAnswer answer) implements EntryAction {}

    /**
     * Send a message to a sidecar.
     *
     * @param sidecar the receiver
     * @param message the message
     */
    record SendToSidecar(NodeId sidecar, EntryMessage message) implements EntryAction {}

    /**
     * Send a message to a peer.
     *
     * @param peer the receiver
     * @param message the message
     */
    record SendToPeer(NodeId peer, PeerMessage message) implements EntryAction {}

    /**
     * Open a connection to a peer and keep it open.
     *
     * @param peer the process expected at the other end
     * @param address the address of the peer, as host:port
     */
    record ConnectPeer(NodeId peer, String address) implements EntryAction {}

    /**
     * Close the connection to a peer and do not reopen it.
     *
     * @param peer the process at the other end
     */
    record DisconnectPeer(NodeId peer) implements EntryAction {}

    /**
     * Write a value if the key still has the expected version; {@link EntryEvent.StoreWritten} or
     * {@link EntryEvent.StoreFailed} must follow.
     *
     * @param key the key
     * @param expectedVersion the version to replace, 0 for none
     * @param value the new value
     * @param leaseMillis the time in milliseconds after which the store removes the value, or empty
     *     to keep it
     */
    record WriteStore(String key, long expectedVersion, String value, Optional<Long> leaseMillis)
            implements EntryAction {}

    /**
     * Read a key; {@link EntryEvent.StoreRead} or {@link EntryEvent.StoreFailed} must follow.
     *
     * @param key the key
     */
    record ReadStore(String key) implements EntryAction {}
}
