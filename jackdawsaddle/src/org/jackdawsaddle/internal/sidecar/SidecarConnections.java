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
 * The connections of a sidecar: one to each entry that it knows of.
 *
 * <p>All state is used on the control thread; messages of a connection that another has replaced
 * are dropped there.
 */
public final class SidecarConnections implements ManagedService {
    /** Takes events on the control thread. */
    public interface Sink {
        /** Takes one event. */
        void accept(SidecarEvent event);
    }

    private final List<String> mSeeds;
    private final ControlLoop mLoop;
    private final Sink mSink;
    private final WireThreads mThreads;
    private final AddressConnectors mConnectors;
    private final NodeChannels mEntries = new NodeChannels();

    /**
     * Creates links that are not open.
     *
     * @param seeds the addresses of some entries, as host:port
     */
    public SidecarConnections(
            List<String> seeds,
            ControlLoop loop,
            Sink sink,
            WireThreads threads,
            MessageCounts counts) {
        mSeeds = seeds;
        mLoop = loop;
        mSink = sink;
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

    /** Queues a message to an entry. */
    public void send(NodeId entry, SidecarMessage message) {
        mEntries.write(entry, message);
    }

    /** Sends what is queued. */
    public void flush() {
        mEntries.flush();
    }

    private void onReceived(WireChannel channel, EntryMessage message) {
        Optional<NodeId> node = mEntries.nodeOf(channel);
        if (message instanceof EntryMessage.Welcome welcome) {
            welcome.entryAddresses().forEach(mConnectors::connect);
            if (node.isEmpty()) {
                onEntryIdentified(channel, welcome.entry());
            }
            return;
        }
        node.ifPresent(entry -> mSink.accept(new SidecarEvent.EntrySent(entry, message)));
    }

    private void onEntryIdentified(WireChannel channel, NodeId entry) {
        if (mEntries.bind(entry, channel)) {
            mSink.accept(new SidecarEvent.EntryLost(entry));
        }
        mSink.accept(new SidecarEvent.EntryConnected(entry));
    }

    private void onClosed(WireChannel channel) {
        mEntries.unbind(channel)
                .ifPresent(entry -> mSink.accept(new SidecarEvent.EntryLost(entry)));
    }

    private final class EntryListener implements WireListener {
        @Override
        public void opened(WireChannel channel) {
            // The entry speaks first.
        }

        @Override
        public void received(WireChannel channel, Message message) {
            if (message instanceof EntryMessage entry) {
                mLoop.execute(() -> onReceived(channel, entry));
            }
        }

        @Override
        public void closed(WireChannel channel) {
            mLoop.execute(() -> onClosed(channel));
        }
    }
}
