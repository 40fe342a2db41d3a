package org.jackdawsaddle.internal.pool;

import java.util.List;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.Message;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.runtime.ControlLoop;
import org.jackdawsaddle.internal.wire.AddressConnectors;
import org.jackdawsaddle.internal.wire.MessageCounts;
import org.jackdawsaddle.internal.wire.NodeChannels;
import org.jackdawsaddle.internal.wire.WireChannel;
import org.jackdawsaddle.internal.wire.WireListener;
import org.jackdawsaddle.internal.wire.WireThreads;

/**
 * Keeps a connection open to each entry of a pool that it learns of.
 *
 * <p>All state is used on the control thread; messages of a connection that another has replaced
 * are dropped there.
 */
public final class PoolDialer implements ManagedService {
    /** Takes what happens on the connections, on the control thread. */
    public interface Listener {
        /** Messages can be sent to an entry. */
        void connected(NodeId entry);

        /** The connection to an entry has ended. */
        void lost(NodeId entry);

        /** An entry has sent a message. */
        void received(NodeId entry, PoolMessage message);

        /** An entry may live at this address. */
        void addressLearned(String address);
    }

    private final String mOwnAddress;
    private final List<String> mSeeds;
    private final ControlLoop mLoop;
    private final Listener mListener;
    private final AddressConnectors mConnectors;
    private final NodeChannels mEntries = new NodeChannels();

    /**
     * Creates a dialer that has not dialled.
     *
     * @param ownAddress where this process accepts connections itself; empty if nowhere
     * @param seeds the addresses of some entries, as host:port
     */
    public PoolDialer(
            String ownAddress,
            List<String> seeds,
            ControlLoop loop,
            Listener listener,
            WireThreads threads,
            MessageCounts counts) {
        mOwnAddress = ownAddress;
        mSeeds = List.copyOf(seeds);
        mLoop = loop;
        mListener = listener;
        mConnectors = new AddressConnectors(threads, Events::new, counts);
    }

    @Override
    public void start() {
        mLoop.execute(() -> mSeeds.forEach(this::connect));
    }

    @Override
    public void stop() {
        mConnectors.stop();
    }

    /** Keeps a connection open to an address from now on. */
    public void connect(String address) {
        if (!address.equals(mOwnAddress) && mConnectors.connect(address)) {
            mListener.addressLearned(address);
        }
    }

    /** Queues a message to an entry. */
    public void send(NodeId entry, PoolMessage message) {
        mEntries.write(entry, message);
    }

    /** Closes the connection to an entry, without a call to the listener; another is opened. */
    public void drop(NodeId entry) {
        mEntries.disconnect(entry);
    }

    /** Sends what is queued. */
    public void flush() {
        mEntries.flush();
    }

    private void onReceived(WireChannel channel, PoolMessage message) {
        switch (message) {
            case PoolMessage.Welcome welcome -> {
                welcome.addresses().forEach(this::connect);
                identify(channel, welcome.entry());
            }
            case PoolMessage.Members members -> members.addresses().forEach(this::connect);
            default ->
                    mEntries.nodeOf(channel).ifPresent(node -> mListener.received(node, message));
        }
    }

    private void identify(WireChannel channel, NodeId entry) {
        if (mEntries.bind(entry, channel)) {
            mListener.lost(entry);
        }
        mListener.connected(entry);
    }

    private final class Events implements WireListener {
        @Override
        public void opened(WireChannel channel) {
            // The entry speaks first, so that another life at its address is told apart.
        }

        @Override
        public void received(WireChannel channel, Message message) {
            if (message instanceof PoolMessage pool) {
                mLoop.execute(() -> onReceived(channel, pool));
            }
        }

        @Override
        public void closed(WireChannel channel) {
            mLoop.execute(() -> mEntries.unbind(channel).ifPresent(mListener::lost));
        }
    }
}
