package org.jackdawsaddle.internal.pool.connection;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArraySet;
import java.util.concurrent.Executor;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.Message;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.runtime.Addresses;
import org.jackdawsaddle.internal.wire.MessageCounts;
import org.jackdawsaddle.internal.wire.NodeChannels;
import org.jackdawsaddle.internal.wire.WireChannel;
import org.jackdawsaddle.internal.wire.WireListener;
import org.jackdawsaddle.internal.wire.WireServer;
import org.jackdawsaddle.internal.wire.WireThreads;

/**
 * Accepts the connections of sidecars and other entries to an entry of a pool.
 *
 * <p>All state except the entry addresses belongs to the control thread, on which all methods but
 * {@link #start} and {@link #stop} must be called. A newer connection of the same sidecar replaces
 * the previous one, which is closed; messages other than {@link PoolMessage.Hello} that still
 * arrive on it are dropped.
 */
public final class PoolAcceptor implements ManagedService {
    /** Receives the events of the connections, on the control thread. */
    public interface Listener {
        /** Called when a sidecar has sent its first message, or its target has changed. */
        void sidecarAnnounced(PoolMessage.Hello hello);

        /**
         * Called when the connection to a sidecar was closed or replaced by a newer one; not called
         * after {@link PoolAcceptor#disconnect}.
         */
        void sidecarLost(NodeId sidecar);

        /** Called when any other message from a sidecar has arrived. */
        void sidecarSent(NodeId sidecar, PoolMessage message);

        /** Called when another entry has sent its first message. */
        void peerAnnounced(PoolMessage.PeerHello hello);

        /** Called when the connection of another entry was closed or replaced by a newer one. */
        void peerClosed(NodeId peer);

        /** Called when any other message from another entry has arrived. */
        void peerSent(NodeId peer, PoolMessage message);

        /** Returns the heartbeat that is sent in reply to each ping of another entry. */
        PoolMessage.Ping heartbeat();
    }

    private final NodeId mSelf;
    private final Executor mLoop;
    private final Listener mListener;
    private final WireServer mServer;

    /** The addresses of this entry and of all others that are known. */
    private final Set<String> mEntryAddresses = new CopyOnWriteArraySet<>();

    /** All open connections, also those that have not identified their process yet. */
    private final Set<WireChannel> mChannels = new LinkedHashSet<>();

    private final NodeChannels mSidecarChannels = new NodeChannels();
    private final Map<WireChannel, NodeId> mPeersByChannel = new HashMap<>();
    private final Map<NodeId, WireChannel> mPeerChannels = new HashMap<>();

    /**
     * Creates an acceptor; it listens after {@link #start}.
     *
     * @param address where to listen, as host:port; also sent to the connected processes
     */
    public PoolAcceptor(
            NodeId self,
            String address,
            Executor loop,
            Listener listener,
            WireThreads threads,
            MessageCounts counts) {
        mSelf = self;
        mLoop = loop;
        mListener = listener;
        mEntryAddresses.add(address);
        mServer = new WireServer(threads, Addresses.parse(address), new Events(), counts);
    }

    @Override
    public void start() {
        mServer.start();
    }

    @Override
    public void stop() {
        mServer.stop();
    }

    /** Queues a message to a sidecar until {@link #flush}; drops it without a connection. */
    public void send(NodeId sidecar, PoolMessage message) {
        mSidecarChannels.write(sidecar, message);
    }

    /**
     * Closes the connection to a sidecar, which then reconnects; {@link Listener#sidecarLost} is
     * not called.
     */
    public void disconnect(NodeId sidecar) {
        mSidecarChannels.disconnect(sidecar);
    }

    /** Queues a message to another entry on the connection that it opened. */
    public void sendToPeer(NodeId peer, PoolMessage message) {
        WireChannel channel = mPeerChannels.get(peer);
        if (channel != null) {
            mSidecarChannels.write(channel, message);
        }
    }

    /** Sends the queued messages. */
    public void flush() {
        mSidecarChannels.flush();
    }

    /** Sends the address of an entry to all connected processes and to those that connect later. */
    public void announceAddress(String address) {
        if (!mEntryAddresses.add(address)) {
            return;
        }
        PoolMessage members = new PoolMessage.Members(List.of(address));
        for (WireChannel channel : mChannels) {
            mSidecarChannels.write(channel, members);
        }
    }

    private void onReceived(WireChannel channel, PoolMessage message) {
        switch (message) {
            case PoolMessage.Hello hello -> onHello(channel, hello);
            case PoolMessage.PeerHello hello -> onPeerHello(channel, hello);
            default -> onMessage(channel, message);
        }
    }

    /** Passes a message on; drops it if its connection is unidentified or was replaced. */
    private void onMessage(WireChannel channel, PoolMessage message) {
        Optional<NodeId> sidecar = mSidecarChannels.nodeOf(channel);
        NodeId peer = mPeersByChannel.get(channel);
        if (sidecar.isPresent()) {
            mListener.sidecarSent(sidecar.get(), message);
        } else if (peer != null) {
            if (message instanceof PoolMessage.Ping) {
                mSidecarChannels.write(channel, mListener.heartbeat());
            }
            mListener.peerSent(peer, message);
        }
    }

    private void onPeerHello(WireChannel channel, PoolMessage.PeerHello hello) {
        mPeersByChannel.put(channel, hello.entry());
        WireChannel before = mPeerChannels.put(hello.entry(), channel);
        if (before != null && before != channel) {
            mListener.peerClosed(hello.entry());
        }
        mListener.peerAnnounced(hello);
    }

    private void onHello(WireChannel channel, PoolMessage.Hello hello) {
        if (mSidecarChannels.bind(hello.sidecar(), channel)) {
            mListener.sidecarLost(hello.sidecar());
        }
        mListener.sidecarAnnounced(hello);
    }

    private void onClosed(WireChannel channel) {
        mChannels.remove(channel);
        NodeId peer = mPeersByChannel.remove(channel);
        if (peer != null && mPeerChannels.remove(peer, channel)) {
            mListener.peerClosed(peer);
        }
        mSidecarChannels.unbind(channel).ifPresent(mListener::sidecarLost);
    }

    private final class Events implements WireListener {
        @Override
        public void opened(WireChannel channel) {
            channel.write(new PoolMessage.Welcome(mSelf, List.copyOf(mEntryAddresses)));
            channel.flush();
            mLoop.execute(() -> mChannels.add(channel));
        }

        @Override
        public void received(WireChannel channel, Message message) {
            if (message instanceof PoolMessage pool) {
                mLoop.execute(() -> onReceived(channel, pool));
            }
        }

        @Override
        public void closed(WireChannel channel) {
            mLoop.execute(() -> onClosed(channel));
        }
    }
}
