package org.jackdawsaddle.internal.dispatch;

import java.util.Optional;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.EntryMessage;
import org.jackdawsaddle.internal.message.PeerMessage;
import org.jackdawsaddle.job.JobAnswer;

/** Whatever the decisions of an entry ask the process to do. */
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
     * @param peer the process wanted at its other end
     * @param address where it listens, as host:port
     */
    record ConnectPeer(NodeId peer, String address) implements EntryAction {}

    /**
     * Close the connection to a peer for good.
     *
     * @param peer the process at its other end
     */
    record DisconnectPeer(NodeId peer) implements EntryAction {}

    /**
     * Write a value if the key still has the expected version.
     *
     * @param key the key
     * @param expectedVersion the version to replace, 0 for none
     * @param value the new value
     * @param leaseMillis after which time the store removes the value, empty to keep it
     */
    record WriteStore(String key, long expectedVersion, String value, Optional<Long> leaseMillis)
            implements EntryAction {}

    /**
     * Read a key.
     *
     * @param key the key
     */
    record ReadStore(String key) implements EntryAction {}
}
