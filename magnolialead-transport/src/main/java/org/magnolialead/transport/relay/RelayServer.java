package org.magnolialead.transport.relay;

import java.util.Optional;
import java.util.function.Function;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.transport.netty.NettySupport;

/**
 * Relays connections of other daemons to members. It connects only to members that this
 * daemon can reach itself, so that the caller learns immediately if it has to ask another
 * relay.
 */
public final class RelayServer {

	private static final System.Logger LOGGER = System.getLogger(RelayServer.class.getName());

	/** Short because this daemon is known to reach the member. */
	private static final int CONNECT_TIMEOUT_MILLISECONDS = 100;

	private final EventLoopGroup eventLoops;

	private final Function<RelayRequest, Optional<String>> addressLookup;

	/**
	 * Creates a server for connections that a {@link PeerPort} accepts.
	 * @param eventLoops event loops for connections to members; addresses are looked up
	 * on them
	 * @param addressLookup returns the address of a member in the form {@code host:port},
	 * or empty if this daemon does not reach the member
	 */
	public RelayServer(EventLoopGroup eventLoops, Function<RelayRequest, Optional<String>> addressLookup) {
		this.eventLoops = eventLoops;
		this.addressLookup = addressLookup;
	}

	/**
	 * Adds the handlers of this server to an accepted connection.
	 * @param pipeline pipeline of the connection
	 */
	void addTo(ChannelPipeline pipeline) {
		pipeline.addLast(RelayCodec.decoder(), new RequestHandler());
	}

	private final class RequestHandler extends SimpleChannelInboundHandler<ByteBuf> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
			// Nothing is read from the caller until the member is connected.
			context.channel().config().setAutoRead(false);
			Optional<String> address = RelayServer.this.addressLookup
				.apply(RelayCodec.decode(frame, RelayRequest.class));
			if (address.isEmpty()) {
				reject(context.channel());
				return;
			}
			Channel caller = context.channel();
			ChannelFuture opening = NettySupport.connect(RelayServer.this.eventLoops, address.get(),
					CONNECT_TIMEOUT_MILLISECONDS, new ForwardingHandler(caller));
			opening.addListener((done) -> {
				if (!done.isSuccess()) {
					reject(caller);
					return;
				}
				startForwarding(context, opening.channel());
			});
		}

		private void startForwarding(ChannelHandlerContext context, Channel member) {
			Channel caller = context.channel();
			if (!caller.isActive()) {
				member.close();
				return;
			}
			caller.pipeline().addLast(new ForwardingHandler(member));
			caller.pipeline().remove(this);
			caller.pipeline().remove(LengthFieldBasedFrameDecoder.class);
			caller.writeAndFlush(RelayCodec.encode(new RelayAnswer(true)));
			caller.config().setAutoRead(true);
		}

		private void reject(Channel caller) {
			caller.writeAndFlush(RelayCodec.encode(new RelayAnswer(false))).addListener(ChannelFutureListener.CLOSE);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			NettySupport.logUnlessConnectionLost(LogEvent.PEER_CONNECTION_DAMAGED, LOGGER, cause,
					context.channel().remoteAddress());
			context.close();
		}

	}

	/**
	 * Forwards the bytes that its channel receives to the other channel. Pauses reading
	 * from the other channel while its own channel is not writable.
	 */
	private static final class ForwardingHandler extends ChannelInboundHandlerAdapter {

		private final Channel target;

		ForwardingHandler(Channel target) {
			this.target = target;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			this.target.write(message, this.target.voidPromise());
		}

		@Override
		public void channelReadComplete(ChannelHandlerContext context) {
			this.target.flush();
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			this.target.config().setAutoRead(context.channel().isWritable());
			context.fireChannelWritabilityChanged();
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			this.target.close();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
