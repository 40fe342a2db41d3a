package org.jackdawsaddle.internal.wire;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.Message;

/**
 * The present connection of each process that has introduced itself. A later connection of the same
 * process replaces the one before, of which nothing is taken any more. Not thread-safe.
 */
public final class NodeChannels {
    private final Map<NodeId, WireChannel> mChannels = new HashMap<>();
    private final Map<WireChannel, NodeId> mNodes = new HashMap<>();
    private final Set<WireChannel> mPendingFlush = new LinkedHashSet<>();

    /** Notes whose connection this is; returns whether it took the place of another one. */
    public boolean bind(NodeId node, WireChannel channel) {
        WireChannel previous = mChannels.put(node, channel);
        mNodes.put(channel, node);
        if (previous == null || previous == channel) {
            return false;
        }
        mNodes.remove(previous);
        previous.close();
        return true;
    }

    /** Returns the process whose present connection this is. */
    public Optional<NodeId> nodeOf(WireChannel channel) {
        return Optional.ofNullable(mNodes.get(channel));
    }

    /** Notes that a connection has ended; returns the process that can be reached no more by it. */
    public Optional<NodeId> unbind(WireChannel channel) {
        mPendingFlush.remove(channel);
        Optional<NodeId> node = Optional.ofNullable(mNodes.remove(channel));
        node.ifPresent(mChannels::remove);
        return node;
    }

    /** Closes the connection of a process, if there is one. */
    public void disconnect(NodeId node) {
        WireChannel channel = mChannels.remove(node);
        if (channel != null) {
            mNodes.remove(channel);
            mPendingFlush.remove(channel);
            channel.close();
        }
    }

    /** Returns the processes that can be reached. */
    public Set<NodeId> nodes() {
        return Set.copyOf(mChannels.keySet());
    }

    /** Queues a message to a process; it is dropped if there is no connection. */
    public void write(NodeId node, Message message) {
        WireChannel channel = mChannels.get(node);
        if (channel != null) {
            write(channel, message);
        }
    }

    /** Queues a message on a connection. */
    public void write(WireChannel channel, Message message) {
        channel.write(message);
        mPendingFlush.add(channel);
    }

    /** Sends what is queued. */
    public void flush() {
        mPendingFlush.forEach(WireChannel::flush);
        mPendingFlush.clear();
    }
}
