package org.magnolialead.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.transport.netty.NettySupport;

/**
 * Start of a connection that another daemon relays. The handlers after it learn of an
 * active channel once the member is connected.
 */
public final class RelayHandshake extends SimpleChannelInboundHandler<ByteBuf> {

	private static final System.Logger LOGGER = System.getLogger(RelayHandshake.class.getName());

	private final RelayRequest request;

	private final Runnable refused;

	private RelayHandshake(RelayRequest request, Runnable refused) {
		this.request = request;
		this.refused = refused;
	}

	/**
	 * Adds the handshake to a pipeline, before the handlers of the endpoint.
	 * @param pipeline the pipeline
	 * @param request what the relay is asked for
	 * @param refused called if the relay does not reach the member
	 */
	public static void addTo(ChannelPipeline pipeline, RelayRequest request, Runnable refused) {
		pipeline.addLast(RelayCodec.decoder(), new RelayHandshake(request, refused));
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		context.writeAndFlush(RelayCodec.encode(this.request));
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
		if (!RelayCodec.decode(frame, RelayAnswer.class).connected()) {
			this.refused.run();
			context.close();
			return;
		}
		context.fireChannelActive();
		context.pipeline().remove(this);
		context.pipeline().remove(LengthFieldBasedFrameDecoder.class);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		NettySupport.logUnlessConnectionLost(LogEvent.PEER_CONNECTION_DAMAGED, LOGGER, cause, context.channel().remoteAddress(),
				cause);
		context.close();
	}

}
