package org.jackdawsaddle.internal.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.jackdawsaddle.ManagedService;
import org.jackdawsaddle.internal.message.Message;

/**
 * Maintains one connection to an address: retries after a fixed delay if it cannot be opened, and
 * reconnects after the same delay when it closes.
 */
public final class WireConnector implements ManagedService {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long RECONNECT_DELAY_MILLIS = 100;

    private final WireThreads mThreads;
    private final InetSocketAddress mAddress;
    private final WireListener mListener;
    private final Bootstrap mBootstrap;
    private volatile boolean mRunning;

    /** The open connection, or null while there is none. */
    private volatile WireChannel mChannel;

    /** Creates a connector that connects once started. */
    public WireConnector(
            WireThreads threads,
            InetSocketAddress address,
            WireListener listener,
            MessageCounts counts) {
        mThreads = threads;
        mAddress = address;
        mListener = listener;
        mBootstrap =
                new Bootstrap()
                        .group(threads.group())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(new WireChannelInitializer(new ReconnectingListener(), counts));
    }

    @Override
    public void start() {
        mRunning = true;
        connect();
    }

    @Override
    public void stop() {
        mRunning = false;
        WireChannel channel = mChannel;
        if (channel != null) {
            channel.close();
        }
    }

    private void connect() {
        if (mRunning && !mThreads.group().isShuttingDown()) {
            mBootstrap.connect(mAddress).addListener(this::onConnected);
        }
    }

    private void onConnected(Future<?> future) {
        if (!future.isSuccess()) {
            scheduleReconnect();
        } else if (!mRunning) {
            ((ChannelFuture) future).channel().close();
        }
    }

    private void scheduleReconnect() {
        if (mRunning && !mThreads.group().isShuttingDown()) {
            mThreads.group().schedule(this::connect, RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private final class ReconnectingListener implements WireListener {
        @Override
        public void opened(WireChannel channel) {
            mChannel = channel;
            mListener.opened(channel);
        }

        @Override
        public void received(WireChannel channel, Message message) {
            mListener.received(channel, message);
        }

        @Override
        public void closed(WireChannel channel) {
            mChannel = null;
            mListener.closed(channel);
            scheduleReconnect();
        }
    }
}
