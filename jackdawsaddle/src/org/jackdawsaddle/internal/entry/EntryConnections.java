package org.jackdawsaddle.internal.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.dispatch.EntryEvent;
import org.jackdawsaddle.internal.message.EntryMessage;
import org.jackdawsaddle.internal.message.Message;
import org.jackdawsaddle.internal.message.PeerMessage;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.message.SidecarMessage;
import org.jackdawsaddle.internal.runtime.Addresses;
import org.jackdawsaddle.internal.runtime.ControlLoop;
import org.jackdawsaddle.internal.wire.MessageCounts;
import org.jackdawsaddle.internal.wire.NodeChannels;
import org.jackdawsaddle.internal.wire.WireChannel;
import org.jackdawsaddle.internal.wire.WireConnector;
import org.jackdawsaddle.internal.wire.WireListener;
import org.jackdawsaddle.internal.wire.WireServer;
import org.jackdawsaddle.internal.wire.WireThreads;

/**
 * The connections of an entry: those accepted from sidecars and peers, and one opened to each peer.
 * Messages to a peer are sent on the opened connection, and those of a peer arrive on the accepted
 * one.
 *
 * <p>A newer connection of the same sidecar replaces the previous one, which is closed; messages
 * other than {@link SidecarMessage.SidecarHello} that still arrive on it are dropped. Accepted
 * connections of peers are kept until they close.
 *
 * <p>All state is confined to the control thread, on which all methods except {@link #start} and
 * {@link #stop} must be called; {@link #stop} must be called after that thread has ended.
 */
public final class EntryConnections implements ManagedService {
    /** Handles the events of the connections, on the control thread. */
    public interface EventHandler {
        /** Handles one event. */
        void handle(EntryEvent event);
    }

    private final NodeId mSelf;
    private final ControlLoop mLoop;
    private final EventHandler mEventHandler;
    private final WireThreads mThreads;
    private final MessageCounts mCounts;
    private final WireServer mServer;
    private final NodeChannels mSidecarChannels = new NodeChannels();
    private final Map<WireChannel, NodeId> mPeersByAcceptedChannel = new HashMap<>();
    private final Map<NodeId, WireConnector> mPeerConnectors = new HashMap<>();
    private final NodeChannels mOpenedPeerChannels = new NodeChannels();

    /**
     * Creates the connections without opening them.
     *
     * @param self the identity that is sent to every connected process
     * @param address the address to listen on, as host:port
     * @param threads the I/O threads, which {@link #stop} stops
     */
    public EntryConnections(
            NodeId self,
            String address,
            ControlLoop loop,
            EventHandler eventHandler,
            WireThreads threads,
            MessageCounts counts) {
        mSelf = self;
        mLoop = loop;
        mEventHandler = eventHandler;
        mThreads = threads;
        mCounts = counts;
        mServer = new WireServer(threads, Addresses.parse(address), new AcceptedListener(), counts);
    }

    @Override
    public void start() {
        mServer.start();
    }

    @Override
    public void stop() {
        mServer.stop();
        mPeerConnectors.values().forEach(WireConnector::stop);
        mThreads.stop();
    }

    /** Queues a message until the next {@link #flush}; drops it if the sidecar is not connected. */
    public void sendToSidecar(NodeId sidecar, EntryMessage message) {
        mSidecarChannels.write(sidecar, message);
    }

    /**
     * Queues a message until the next {@link #flush}; drops it if no connection to the peer is
     * open.
     */
    public void sendToPeer(NodeId peer, PeerMessage message) {
        mOpenedPeerChannels.write(peer, message);
    }

    /** Returns the peers to which a connection is open. */
    public Set<NodeId> peers() {
        return mOpenedPeerChannels.nodes();
    }

    /**
     * Connects to one incarnation of a peer, and reconnects whenever the connection closes. A
     * connection to another incarnation is closed.
     *
     * @param address the address on which the peer listens, as host:port
     */
    public void connectPeer(NodeId peer, String address) {
        WireConnector connector =
                new WireConnector(
                        mThreads, Addresses.parse(address), new PeerListener(peer), mCounts);
        mPeerConnectors.put(peer, connector);
        connector.start();
    }

    /**
     * Closes the connection to a peer without reconnecting; no {@link EntryEvent.PeerLost} follows.
     */
    public void disconnectPeer(NodeId peer) {
        Optional.ofNullable(mPeerConnectors.remove(peer)).ifPresent(WireConnector::stop);
        mOpenedPeerChannels.disconnect(peer);
    }

    /** Sends all queued messages. */
    public void flush() {
        mSidecarChannels.flush();
        mOpenedPeerChannels.flush();
    }

    /** Listens to connections accepted from sidecars and peers. */
    private final class AcceptedListener implements WireListener {
        @Override
        public void opened(WireChannel channel) {
            channel.write(new EntryMessage.Welcome(mSelf, List.of()));
            channel.flush();
        }

        @Override
        public void received(WireChannel channel, Message message) {
            mLoop.execute(() -> onAcceptedReceived(channel, message));
        }

        @Override
        public void closed(WireChannel channel) {
            mLoop.execute(() -> onAcceptedClosed(channel));
        }
    }

    private void onAcceptedReceived(WireChannel channel, Message message) {
        switch (message) {
            case SidecarMessage.SidecarHello hello -> onSidecarHello(channel, hello);
            case SidecarMessage sidecarMessage ->
                    mSidecarChannels
                            .nodeOf(channel)
                            .ifPresent(node ->
                                    mEventHandler.handle(
                                            new EntryEvent.SidecarSent(node, sidecarMessage)));
            case PeerMessage.PeerHello hello -> {
                mPeersByAcceptedChannel.put(channel, hello.entry());
                mEventHandler.handle(new EntryEvent.PeerSent(hello.entry(), hello));
            }
            case PeerMessage peerMessage -> {
                NodeId node = mPeersByAcceptedChannel.get(channel);
                if (node != null) {
                    mEventHandler.handle(new EntryEvent.PeerSent(node, peerMessage));
                }
            }
            case EntryMessage entryMessage -> channel.close();
            case PoolMessage poolMessage -> channel.close();
        }
    }

    private void onSidecarHello(WireChannel channel, SidecarMessage.SidecarHello hello) {
        if (mSidecarChannels.bind(hello.sidecar(), channel)) {
            mEventHandler.handle(new EntryEvent.SidecarLost(hello.sidecar()));
        }
        mEventHandler.handle(new EntryEvent.SidecarAnnounced(hello));
    }

    private void onAcceptedClosed(WireChannel channel) {
        mPeersByAcceptedChannel.remove(channel);
        mSidecarChannels
                .unbind(channel)
                .ifPresent(node -> mEventHandler.handle(new EntryEvent.SidecarLost(node)));
    }

    /** Listens to the connection opened to one incarnation of a peer. */
    private final class PeerListener implements WireListener {
        private final NodeId mPeer;

        PeerListener(NodeId peer) {
            mPeer = peer;
        }

        @Override
        public void opened(WireChannel channel) {
            // The peer sends the first message, which shows whether it is the expected incarnation.
        }

        @Override
        public void received(WireChannel channel, Message message) {
            if (message instanceof EntryMessage.Welcome welcome) {
                mLoop.execute(() -> onWelcome(channel, welcome));
            }
        }

        @Override
        public void closed(WireChannel channel) {
            mLoop.execute(() ->
                    mOpenedPeerChannels
                            .unbind(channel)
                            .ifPresent(
                                    peer -> mEventHandler.handle(new EntryEvent.PeerLost(peer))));
        }

        private void onWelcome(WireChannel channel, EntryMessage.Welcome welcome) {
            if (!welcome.entry().equals(mPeer) || !mPeerConnectors.containsKey(mPeer)) {
                channel.close();
                return;
            }
            mOpenedPeerChannels.bind(mPeer, channel);
            mEventHandler.handle(new EntryEvent.PeerConnected(mPeer));
        }
    }
}
