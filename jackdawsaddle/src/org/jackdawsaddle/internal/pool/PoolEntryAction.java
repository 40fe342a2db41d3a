package org.jackdawsaddle.internal.pool;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.pool.PoolAnswer;

/** A side effect that {@link PoolEntryCore} requests. */
public sealed interface PoolEntryAction {
    /** Answer the call that the token of {@link PoolEntryEvent.JobSubmitted} identifies. */
    record AnswerCaller(long token, PoolAnswer answer) implements PoolEntryAction {}

    /** Send a message to a sidecar. */
    record SendToSidecar(NodeId sidecar, PoolMessage message) implements PoolEntryAction {}

    /** Send a message to another entry, on the connection that this entry opened. */
    record SendToPeer(NodeId peer, PoolMessage message) implements PoolEntryAction {}

    /** Send a message to another entry, on the connection that it opened. */
    record AnswerPeer(NodeId peer, PoolMessage message) implements PoolEntryAction {}

    /** Close the connection to a sidecar that has timed out; the sidecar reconnects. */
    record DisconnectSidecar(NodeId sidecar) implements PoolEntryAction {}

    /**
     * Close the connection that this entry opened to another entry, as it has timed out, and
     * reconnect. The core must then be passed a {@link PoolEntryEvent.PeerLost}.
     */
    record DisconnectPeer(NodeId peer) implements PoolEntryAction {}
}
