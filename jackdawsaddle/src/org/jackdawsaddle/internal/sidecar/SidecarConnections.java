package org.jackdawsaddle.internal.sidecar;

import java.util.List;
import java.util.Optional;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.EntryMessage;
import org.jackdawsaddle.internal.message.Message;
import org.jackdawsaddle.internal.message.SidecarMessage;
import org.jackdawsaddle.internal.runtime.ControlLoop;
import org.jackdawsaddle.internal.wire.AddressConnectors;
import org.jackdawsaddle.internal.wire.MessageCounts;
import org.jackdawsaddle.internal.wire.NodeChannels;
import org.jackdawsaddle.internal.wire.WireChannel;
import org.jackdawsaddle.internal.wire.WireListener;
import org.jackdawsaddle.internal.wire.WireThreads;

/**
 * The connections of a sidecar, one to each known entry.
 *
 * <p>All state is confined to the control thread. A newer connection to the same entry replaces the
 * previous one, which is closed; messages other than {@link EntryMessage.Welcome} that still arrive
 * on it are dropped. {@link #send} and {@link #flush} must be called on the control thread, and
 * {@link #stop} after that thread has ended.
 */
public final class SidecarConnections implements ManagedService {
    /** Handles the events of the connections, on the control thread. */
    public interface EventHandler {
        /** Handles one event. */
        void handle(SidecarEvent event);
    }

    private final List<String> mSeeds;
    private final ControlLoop mLoop;
    private final EventHandler mEventHandler;
    private final WireThreads mThreads;
    private final AddressConnectors mConnectors;
    private final NodeChannels mEntryChannels = new NodeChannels();

    /**
     * Creates the connections without opening them.
     *
     * @param seeds the addresses of some entries, as host:port; these entries send the addresses of
     *     all others
     * @param threads the I/O threads, which {@link #stop} stops
     */
    public SidecarConnections(
            List<String> seeds,
            ControlLoop loop,
            EventHandler eventHandler,
            WireThreads threads,
            MessageCounts counts) {
        mSeeds = seeds;
        mLoop = loop;
        mEventHandler = eventHandler;
        mThreads = threads;
        mConnectors = new AddressConnectors(threads, EntryListener::new, counts);
    }

    @Override
    public void start() {
        mLoop.execute(() -> mSeeds.forEach(mConnectors::connect));
    }

    @Override
    public void stop() {
        mConnectors.stop();
        mThreads.stop();
    }

    /** Queues a message until the next {@link #flush}; drops it if the entry is not connected. */
    public void send(NodeId entry, SidecarMessage message) {
        mEntryChannels.write(entry, message);
    }

    /** Sends all queued messages. */
    public void flush() {
        mEntryChannels.flush();
    }

    private void onReceived(WireChannel channel, EntryMessage message) {
        Optional<NodeId> node = mEntryChannels.nodeOf(channel);
        if (message instanceof EntryMessage.Welcome welcome) {
            welcome.entryAddresses().forEach(mConnectors::connect);
            if (node.isEmpty()) {
                onEntryIdentified(channel, welcome.entry());
            }
            return;
        }
        node.ifPresent(entry -> mEventHandler.handle(new SidecarEvent.EntrySent(entry, message)));
    }

    private void onEntryIdentified(WireChannel channel, NodeId entry) {
        if (mEntryChannels.bind(entry, channel)) {
            mEventHandler.handle(new SidecarEvent.EntryLost(entry));
        }
        mEventHandler.handle(new SidecarEvent.EntryConnected(entry));
    }

    private void onClosed(WireChannel channel) {
        mEntryChannels
                .unbind(channel)
                .ifPresent(entry -> mEventHandler.handle(new SidecarEvent.EntryLost(entry)));
    }

    private final class EntryListener implements WireListener {
        @Override
        public void opened(WireChannel channel) {
            // The entry sends the first message, which identifies it.
        }

        @Override
        public void received(WireChannel channel, Message message) {
            if (message instanceof EntryMessage entryMessage) {
                mLoop.execute(() -> onReceived(channel, entryMessage));
            }
        }

        @Override
        public void closed(WireChannel channel) {
            mLoop.execute(() -> onClosed(channel));
        }
    }
}
