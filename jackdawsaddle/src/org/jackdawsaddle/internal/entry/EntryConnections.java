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
 *
 * <p>All state is confined to the control thread. Messages that arrive on a connection after a
 * newer one of the same process has replaced it are dropped.
 */
public final class EntryConnections implements ManagedService {
    /** Receives events on the control thread. */
    public interface Sink {
        /** Handles one event. */
        void accept(EntryEvent event);
    }

    private final NodeId mSelf;
    private final ControlLoop mLoop;
    private final Sink mSink;
    private final WireThreads mThreads;
    private final MessageCounts mCounts;
    private final WireServer mServer;
    private final NodeChannels mSidecars = new NodeChannels();
    private final Map<WireChannel, NodeId> mAcceptedPeers = new HashMap<>();
    private final Map<NodeId, WireConnector> mPeerConnectors = new HashMap<>();
    private final NodeChannels mPeers = new NodeChannels();

    /**
     * Creates the connections without opening them.
     *
     * @param self the identity that is sent to every connected process
     * @param address the address to listen on, as host:port
     */
    public EntryConnections(
            NodeId self,
            String address,
            ControlLoop loop,
            Sink sink,
            WireThreads threads,
            MessageCounts counts) {
        mSelf = self;
        mLoop = loop;
        mSink = sink;
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

    /** Queues a message to a sidecar until the next {@link #flush}; drops it if not connected. */
    public void send(NodeId sidecar, EntryMessage message) {
        mSidecars.write(sidecar, message);
    }

    /** Queues a message to a peer until the next {@link #flush}; drops it if not connected. */
    public void sendToPeer(NodeId peer, PeerMessage message) {
        mPeers.write(peer, message);
    }

    /** Returns the connected peers. */
    public Set<NodeId> peers() {
        return mPeers.nodes();
    }

    /** Connects to a peer, and reconnects whenever the connection closes. */
    public void connect(NodeId peer, String address) {
        WireConnector connector =
                new WireConnector(
                        mThreads, Addresses.parse(address), new PeerListener(peer), mCounts);
        mPeerConnectors.put(peer, connector);
        connector.start();
    }

    /** Closes the connection to a peer without reconnecting. */
    public void disconnect(NodeId peer) {
        Optional.ofNullable(mPeerConnectors.remove(peer)).ifPresent(WireConnector::stop);
        mPeers.disconnect(peer);
    }

    /** Sends all queued messages. */
    public void flush() {
        mSidecars.flush();
        mPeers.flush();
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
            mLoop.execute(() -> onReceived(channel, message));
        }

        @Override
        public void closed(WireChannel channel) {
            mLoop.execute(() -> onAcceptedClosed(channel));
        }
    }

    private void onReceived(WireChannel channel, Message message) {
        switch (message) {
            case SidecarMessage.SidecarHello hello -> onSidecarHello(channel, hello);
            case SidecarMessage sidecar ->
                    mSidecars
                            .nodeOf(channel)
                            .ifPresent(node ->
                                    mSink.accept(new EntryEvent.SidecarSent(node, sidecar)));
            case PeerMessage.PeerHello hello -> {
                mAcceptedPeers.put(channel, hello.entry());
                mSink.accept(new EntryEvent.PeerSent(hello.entry(), hello));
            }
            case PeerMessage peer -> {
                NodeId node = mAcceptedPeers.get(channel);
                if (node != null) {
                    mSink.accept(new EntryEvent.PeerSent(node, peer));
                }
            }
            case EntryMessage entry -> channel.close();
            case PoolMessage pool -> channel.close();
        }
    }

    private void onSidecarHello(WireChannel channel, SidecarMessage.SidecarHello hello) {
        if (mSidecars.bind(hello.sidecar(), channel)) {
            mSink.accept(new EntryEvent.SidecarLost(hello.sidecar()));
        }
        mSink.accept(new EntryEvent.SidecarAnnounced(hello));
    }

    private void onAcceptedClosed(WireChannel channel) {
        mAcceptedPeers.remove(channel);
        mSidecars.unbind(channel).ifPresent(node -> mSink.accept(new EntryEvent.SidecarLost(node)));
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
                    mPeers.unbind(channel)
                            .ifPresent(peer -> mSink.accept(new EntryEvent.PeerLost(peer))));
        }

        private void onWelcome(WireChannel channel, EntryMessage.Welcome welcome) {
            if (!welcome.entry().equals(mPeer) || !mPeerConnectors.containsKey(mPeer)) {
                channel.close();
                return;
            }
            mPeers.bind(mPeer, channel);
            mSink.accept(new EntryEvent.PeerConnected(mPeer));
        }
    }
}
