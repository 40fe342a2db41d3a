package org.jackdawsaddle.internal.wire;

import org.jackdawsaddle.internal.message.Message;

/**
 * Receives the events of connections. Called on the I/O thread of each connection, so
 * implementations must not block.
 */
public interface WireListener {
    /** Called when a connection has opened. */
    void opened(WireChannel channel);

    /** Called when a message has arrived. */
    void received(WireChannel channel, Message message);

    /** Called when a connection has closed; no message arrives on it afterwards. */
    void closed(WireChannel channel);
}
