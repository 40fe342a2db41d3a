package org.jackdawsaddle.internal.pool;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArraySet;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.Message;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.runtime.Addresses;
import org.jackdawsaddle.internal.runtime.ControlLoop;
import org.jackdawsaddle.internal.wire.MessageCounts;
import org.jackdawsaddle.internal.wire.NodeChannels;
import org.jackdawsaddle.internal.wire.WireChannel;
import org.jackdawsaddle.internal.wire.WireListener;
import org.jackdawsaddle.internal.wire.WireServer;
import org.jackdawsaddle.internal.wire.WireThreads;

/**
 * The connections that sidecars and other entries open to an entry of a pool.
 *
 * <p>All state but the addresses is used on the control thread.
 */
public final class PoolAcceptor implements ManagedService {
    /** Takes what happens on the connections, on the control thread. */
    public interface Listener {
        /** A sidecar has introduced itself, or tells of a change. */
        void sidecarAnnounced(PoolMessage.Hello hello);

        /** The connection to a sidecar has ended. */
        void sidecarLost(NodeId sidecar);

        /** A sidecar has sent a message. */
        void sidecarSent(NodeId sidecar, PoolMessage message);

        /** Another entry has introduced itself. */
        void peerAnnounced(PoolMessage.PeerHello hello);

        /** Another entry has sent a message. */
        void peerSent(NodeId peer, PoolMessage message);

        /** Returns the version in force, which each message of another entry is answered with. */
        long configurationVersion();
    }

    private final NodeId mSelf;
    private final ControlLoop mLoop;
    private final Listener mListener;
    private final WireServer mServer;
    private final Set<String> mAddresses = new CopyOnWriteArraySet<>();
    private final Set<WireChannel> mChannels = new LinkedHashSet<>();
    private final NodeChannels mSidecars = new NodeChannels();
    private final Map<WireChannel, NodeId> mPeers = new HashMap<>();

    /** Creates an acceptor that does not listen. */
    public PoolAcceptor(
            NodeId self,
            String address,
            ControlLoop loop,
            Listener listener,
            WireThreads threads,
            MessageCounts counts) {
        mSelf = self;
        mLoop = loop;
        mListener = listener;
        mAddresses.add(address);
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

    /** Queues a message to a sidecar. */
    public void send(NodeId sidecar, PoolMessage message) {
        mSidecars.write(sidecar, message);
    }

    /** Closes the connection to a sidecar, which opens another. */
    public void drop(NodeId sidecar) {
        mSidecars.disconnect(sidecar);
    }

    /** Sends what is queued. */
    public void flush() {
        mSidecars.flush();
    }

    /** Tells all connected processes, and those to come, of the address of an entry. */
    public void announceAddress(String address) {
        if (!mAddresses.add(address)) {
            return;
        }
        PoolMessage members = new PoolMessage.Members(List.of(address));
        for (WireChannel channel : mChannels) {
            mSidecars.write(channel, members);
        }
    }

    private void onReceived(WireChannel channel, PoolMessage message) {
        switch (message) {
            case PoolMessage.Hello hello -> onHello(channel, hello);
            case PoolMessage.PeerHello hello -> {
                mPeers.put(channel, hello.entry());
                mListener.peerAnnounced(hello);
            }
            default -> onMessage(channel, message);
        }
    }

    private void onMessage(WireChannel channel, PoolMessage message) {
        Optional<NodeId> sidecar = mSidecars.nodeOf(channel);
        NodeId peer = mPeers.get(channel);
        if (sidecar.isPresent()) {
            mListener.sidecarSent(sidecar.get(), message);
        } else if (peer != null) {
            mSidecars.write(channel, new PoolMessage.Ping(mListener.configurationVersion()));
            mListener.peerSent(peer, message);
        }
    }

    private void onHello(WireChannel channel, PoolMessage.Hello hello) {
        if (mSidecars.bind(hello.sidecar(), channel)) {
            mListener.sidecarLost(hello.sidecar());
        }
        mListener.sidecarAnnounced(hello);
    }

    private void onClosed(WireChannel channel) {
        mChannels.remove(channel);
        mPeers.remove(channel);
        mSidecars.unbind(channel).ifPresent(mListener::sidecarLost);
    }

    private final class Events implements WireListener {
        @Override
        public void opened(WireChannel channel) {
            channel.write(new PoolMessage.Welcome(mSelf, List.copyOf(mAddresses)));
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
