package org.magnolialead.transport.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.transport.netty.NettySupport;

/**
 * Client side of the handshake on a relayed connection. Later handlers of the pipeline
 * receive {@code channelActive} only once the relay is connected to the member. Only the
 * first answer counts: frames that follow a rejection are decoded when the connection is
 * closed.
 */
public final class RelayHandshake extends SimpleChannelInboundHandler<ByteBuf> {

	private static final System.Logger LOGGER = System.getLogger(RelayHandshake.class.getName());

	private final RelayRequest request;

	private final Runnable onRejected;

	private boolean answered;

	private RelayHandshake(RelayRequest request, Runnable onRejected) {
		this.request = request;
		this.onRejected = onRejected;
	}

	/**
	 * Adds the handshake to a pipeline. Must be called before the handlers of the
	 * endpoint are added.
	 * @param pipeline the pipeline
	 * @param request the request to the relay
	 * @param onRejected called if the relay cannot connect to the member
	 */
	public static void addTo(ChannelPipeline pipeline, RelayRequest request, Runnable onRejected) {
		pipeline.addLast(RelayCodec.decoder(), new RelayHandshake(request, onRejected));
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		context.writeAndFlush(RelayCodec.encode(this.request));
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
		if (this.answered) {
			return;
		}
		this.answered = true;
		if (!RelayCodec.decode(frame, RelayAnswer.class).connected()) {
			this.onRejected.run();
			context.close();
			return;
		}
		context.fireChannelActive();
		context.pipeline().remove(this);
		context.pipeline().remove(LengthFieldBasedFrameDecoder.class);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		NettySupport.logUnlessConnectionLost(LogEvent.PEER_CONNECTION_DAMAGED, LOGGER, cause,
				context.channel().remoteAddress(), cause);
		context.close();
	}

}
