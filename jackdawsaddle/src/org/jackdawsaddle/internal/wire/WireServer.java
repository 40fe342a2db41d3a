package org.jackdawsaddle.internal.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import org.jackdawsaddle.ManagedService;

/**
 * Accepts connections from sidecars and peers. {@link #stop} closes the listening socket only;
 * accepted connections stay open until the I/O threads stop.
 */
public final class WireServer implements ManagedService {
    private final WireThreads mThreads;
    private final InetSocketAddress mAddress;
    private final WireChannelInitializer mChannelInitializer;
    private Channel mChannel;

    /**
     * Creates a server that listens on the given address once started.
     *
     * @param listener the listener of all accepted connections
     */
    public WireServer(
            WireThreads threads,
            InetSocketAddress address,
            WireListener listener,
            MessageCounts counts) {
        mThreads = threads;
        mAddress = address;
        mChannelInitializer = new WireChannelInitializer(listener, counts);
    }

    @Override
    public void start() {
        mChannel =
                new ServerBootstrap()
                        .group(mThreads.group())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(mChannelInitializer)
                        .bind(mAddress)
                        .syncUninterruptibly()
                        .channel();
    }

    @Override
    public void stop() {
        mChannel.close().syncUninterruptibly();
    }
}
