package org.jackdawsaddle.internal.pool.connection;

import java.util.List;
import java.util.concurrent.Executor;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.Message;
import org.jackdawsaddle.internal.message.PoolMessage;
import org.jackdawsaddle.internal.wire.AddressConnectors;
import org.jackdawsaddle.internal.wire.MessageCounts;
import org.jackdawsaddle.internal.wire.NodeChannels;
import org.jackdawsaddle.internal.wire.WireChannel;
import org.jackdawsaddle.internal.wire.WireListener;
import org.jackdawsaddle.internal.wire.WireThreads;

/**
 * Maintains a connection to each known entry of a pool.
 *
 * <p>All state belongs to the control thread, on which all methods but {@link #start} and {@link
 * #stop} must be called; {@link #stop} must be called after that thread has ended. A newer
 * connection to the same entry replaces the previous one, which is closed. Messages that still
 * arrive on the latter are dropped, except that {@link PoolMessage.Welcome} and {@link
 * PoolMessage.Members} are handled on any connection, and a {@code Welcome} makes its connection
 * the current one.
 */
public final class PoolDialer implements ManagedService {
    /** Receives the events of the connections, on the control thread. */
    public interface Listener {
        /** Called when the connection to an entry is ready for messages. */
        void connected(NodeId entry);

        /**
         * Called when the connection to an entry was closed or replaced by a newer one; not called
         * after {@link PoolDialer#disconnect}.
         */
        void lost(NodeId entry);

        /** Called when a message from an entry has arrived. */
        void received(NodeId entry, PoolMessage message);

        /** Called once for each address that the dialer adds, seeds included. */
        void addressLearned(String address);
    }

    private final String mOwnAddress;
    private final List<String> mSeeds;
    private final Executor mLoop;
    private final Listener mListener;
    private final AddressConnectors mConnectors;
    private final NodeChannels mEntryChannels = new NodeChannels();

    /**
     * Creates a dialer; it connects after {@link #start}.
     *
     * @param ownAddress where this process accepts connections itself, as host:port; empty if it
     *     does not
     * @param seeds the peer addresses of some entries, as host:port; they may be down
     */
    public PoolDialer(
            String ownAddress,
            List<String> seeds,
            Executor loop,
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

    /**
     * Maintains a connection to an entry from now on, unless the address is this process's own or
     * already known.
     *
     * @param address as host:port
     */
    public void connect(String address) {
        if (!address.equals(mOwnAddress) && mConnectors.connect(address)) {
            mListener.addressLearned(address);
        }
    }

    /** Queues a message to an entry until {@link #flush}; drops it without a connection. */
    public void send(NodeId entry, PoolMessage message) {
        mEntryChannels.write(entry, message);
    }

    /** Closes the connection to an entry and reconnects; {@link Listener#lost} is not called. */
    public void disconnect(NodeId entry) {
        mEntryChannels.disconnect(entry);
    }

    /** Sends the queued messages. */
    public void flush() {
        mEntryChannels.flush();
    }

    private void onReceived(WireChannel channel, PoolMessage message) {
        switch (message) {
            case PoolMessage.Welcome welcome -> {
                welcome.addresses().forEach(this::connect);
                identify(channel, welcome.entry());
            }
            case PoolMessage.Members members -> members.addresses().forEach(this::connect);
            default ->
                    mEntryChannels
                            .nodeOf(channel)
                            .ifPresent(node -> mListener.received(node, message));
        }
    }

    private void identify(WireChannel channel, NodeId entry) {
        if (mEntryChannels.bind(entry, channel)) {
            mListener.lost(entry);
        }
        mListener.connected(entry);
    }

    private final class Events implements WireListener {
        @Override
        public void opened(WireChannel channel) {
            // The entry sends the first message, which identifies the incarnation at its address.
        }

        @Override
        public void received(WireChannel channel, Message message) {
            if (message instanceof PoolMessage pool) {
                mLoop.execute(() -> onReceived(channel, pool));
            }
        }

        @Override
        public void closed(WireChannel channel) {
            mLoop.execute(() -> mEntryChannels.unbind(channel).ifPresent(mListener::lost));
        }
    }
}
