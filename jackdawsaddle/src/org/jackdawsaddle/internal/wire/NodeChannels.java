package org.jackdawsaddle.internal.wire;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jackdawsaddle.NodeId;
import org.jackdawsaddle.internal.message.Message;

/**
 * The current connection of each process that has identified itself. A newer connection of the same
 * incarnation replaces the previous one, which is closed and no longer maps to the process. Not
 * thread-safe.
 */
public final class NodeChannels {
    private final Map<NodeId, WireChannel> mChannels = new HashMap<>();
    private final Map<WireChannel, NodeId> mNodes = new HashMap<>();
    private final Set<WireChannel> mPendingFlush = new LinkedHashSet<>();

    /**
     * Makes a connection the current one of a process, and closes the previous one if there is one.
     *
     * @return whether a previous connection was replaced
     */
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

    /** Returns the process whose current connection this is, if there is one. */
    public Optional<NodeId> nodeOf(WireChannel channel) {
        return Optional.ofNullable(mNodes.get(channel));
    }

    /**
     * Removes a closed connection.
     *
     * @return the process that is no longer connected, or empty if the connection was not current
     */
    public Optional<NodeId> unbind(WireChannel channel) {
        mPendingFlush.remove(channel);
        Optional<NodeId> node = Optional.ofNullable(mNodes.remove(channel));
        node.ifPresent(mChannels::remove);
        return node;
    }

    /**
     * Closes the connection of a process, if it has one; {@link #unbind} then returns empty for it.
     */
    public void disconnect(NodeId node) {
        WireChannel channel = mChannels.remove(node);
        if (channel != null) {
            mNodes.remove(channel);
            mPendingFlush.remove(channel);
            channel.close();
        }
    }

    /** Returns the connected processes. */
    public Set<NodeId> nodes() {
        return Set.copyOf(mChannels.keySet());
    }

    /** Queues a message until the next {@link #flush}; drops it if the process is not connected. */
    public void write(NodeId node, Message message) {
        WireChannel channel = mChannels.get(node);
        if (channel != null) {
            write(channel, message);
        }
    }

    /** Queues a message on a connection until the next {@link #flush}. */
    public void write(WireChannel channel, Message message) {
        channel.write(message);
        mPendingFlush.add(channel);
    }

    /** Sends all queued messages. */
    public void flush() {
        mPendingFlush.forEach(WireChannel::flush);
        mPendingFlush.clear();
    }
}
