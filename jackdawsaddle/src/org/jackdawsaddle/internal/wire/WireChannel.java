package org.jackdawsaddle.internal.wire;

import io.netty.channel.Channel;
import org.jackdawsaddle.internal.message.Message;

/** A connection to another process of the system. */
public final class WireChannel {
    private final Channel mChannel;
    private final MessageCounts mCounts;

    WireChannel(Channel channel, MessageCounts counts) {
        mChannel = channel;
        mCounts = counts;
    }

    /** Queues a message until the next {@link #flush}; drops it if the connection is closed. */
    public void write(Message message) {
        if (mChannel.isActive()) {
            var envelope = WireCodec.encode(message);
            mCounts.add(envelope);
            mChannel.write(envelope, mChannel.voidPromise());
        }
    }

    /** Sends all queued messages. */
    public void flush() {
        mChannel.flush();
    }

    /** Closes the connection. */
    public void close() {
        mChannel.close();
    }
}
