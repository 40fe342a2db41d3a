package org.jackdawsaddle.internal.pool;

import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.pool.Evacuation;
import org.jackdawsaddle.pool.PoolConfiguration;
import org.jackdawsaddle.pool.PoolJob;

/** An event that {@link PoolEntryCore} handles. */
public sealed interface PoolEntryEvent {
    /** A caller has submitted a job; the token identifies the call to answer. */
    record JobSubmitted(long token, PoolJob job) implements PoolEntryEvent {}

    /** The caller of a call that was submitted with this token no longer waits for the answer. */
    record CallerLost(long token) implements PoolEntryEvent {}

    /** A caller has cancelled a job. */
    record JobCancelled(String id) implements PoolEntryEvent {}

    /** A configuration was read from the store. */
    record ConfigurationRead(PoolConfiguration configuration) implements PoolEntryEvent {}

    /** The operator's evacuation of data centres was read from the store. */
    record EvacuationRead(Evacuation evacuation) implements PoolEntryEvent {}

    /** A sidecar has sent its first message on a connection, or its target has changed. */
    record SidecarAnnounced(PoolMessage.Hello hello) implements PoolEntryEvent {}

    /** The connection to a sidecar was closed or replaced by a newer one. */
    record SidecarLost(NodeId sidecar) implements PoolEntryEvent {}

    /** Any other message from a sidecar has arrived. */
    record SidecarSent(NodeId sidecar, PoolMessage message) implements PoolEntryEvent {}

    /** The connection that this entry opened to another entry is ready for messages. */
    record PeerConnected(NodeId peer) implements PoolEntryEvent {}

    /** The connection that this entry opened to another entry was closed or replaced. */
    record PeerLost(NodeId peer) implements PoolEntryEvent {}

    /**
     * Another entry has answered on the connection that this entry opened: with a ping, as {@code
     * PoolAcceptor} answers each message but the first.
     */
    record PeerAnswered(NodeId peer, PoolMessage message) implements PoolEntryEvent {}

    /**
     * Another entry has sent a message, its {@code PeerHello} included, on the connection that it
     * opened.
     */
    record PeerSent(NodeId peer, PoolMessage message) implements PoolEntryEvent {}

    /** The connection that another entry opened was closed or replaced. */
    record PeerClosed(NodeId peer) implements PoolEntryEvent {}

    /** The next tick is due. */
    record Tick() implements PoolEntryEvent {}

    /**
     * The process is about to stop: the entry is no longer ready, but still accepts jobs that can
     * end in time.
     *
     * @param workDeadline when all jobs must have been answered, in milliseconds since the epoch
     */
    record LeaveRequested(long workDeadline) implements PoolEntryEvent {}
}
