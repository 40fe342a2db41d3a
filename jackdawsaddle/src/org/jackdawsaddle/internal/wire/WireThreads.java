package org.jackdawsaddle.internal.wire;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import org.jackdawsaddle.ManagedService;

/**
 * The I/O threads that serve the connections of a process. {@link #stop} closes the connections
 * that are still open.
 */
public final class WireThreads implements ManagedService {
    private static final long QUIET_PERIOD_MILLIS = 0;
    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    private final EventLoopGroup mGroup;

    /**
     * Creates a group of daemon threads.
     *
     * @param name the prefix of the thread names
     * @param threads the number of threads
     */
    public WireThreads(String name, int threads) {
        mGroup =
                new MultiThreadIoEventLoopGroup(
                        threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    EventLoopGroup group() {
        return mGroup;
    }

    @Override
    public void start() {
        // Netty starts each thread when it gets its first connection.
    }

    @Override
    public void stop() {
        mGroup.shutdownGracefully(QUIET_PERIOD_MILLIS, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
    }
}
