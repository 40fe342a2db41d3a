package org.jackdawsaddle.internal.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jackdawsaddle.internal.wire.proto.Wire.Envelope;

/** Sets up the handlers of a connection: length-prefixed frames, protobuf, and the listener. */
final class WireChannelInitializer extends ChannelInitializer<Channel> {
    private static final Logger LOG = LogManager.getLogger(WireChannelInitializer.class);

    private final WireListener mListener;
    private final MessageCounts mCounts;

    WireChannelInitializer(WireListener listener, MessageCounts counts) {
        mListener = listener;
        mCounts = counts;
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline()
                .addLast(new ProtobufVarint32FrameDecoder())
                .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
                .addLast(new ProtobufVarint32LengthFieldPrepender())
                .addLast(new ProtobufEncoder())
                .addLast(new ListenerHandler(new WireChannel(channel, mCounts)));
    }

    private final class ListenerHandler extends SimpleChannelInboundHandler<Envelope> {
        private final WireChannel mWireChannel;

        ListenerHandler(WireChannel wireChannel) {
            mWireChannel = wireChannel;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            mListener.opened(mWireChannel);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
            mListener.received(mWireChannel, WireCodec.decode(envelope));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mListener.closed(mWireChannel);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debug("Closing a connection after an I/O or decoding error", cause);
            context.close();
        }
    }
}
