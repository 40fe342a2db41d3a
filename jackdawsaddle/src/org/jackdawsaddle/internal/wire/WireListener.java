package org.jackdawsaddle.internal.wire;

import org.jackdawsaddle.internal.message.Message;

/** Learns what happens on connections; called on I/O threads. */
public interface WireListener {
    /** A connection is open. */
    void opened(WireChannel channel);

    /** A message has arrived. */
    void received(WireChannel channel, Message message);

    /** A connection has ended; nothing more arrives on it. */
    void closed(WireChannel channel);
}
