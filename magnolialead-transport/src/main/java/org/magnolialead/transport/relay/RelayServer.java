package org.magnolialead.transport.relay;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.transport.netty.NettySupport;

/**
 * Opens connections to members for other daemons. It connects only to members that this
 * daemon reaches itself, so that the caller learns at once if it has to ask another one.
 */
public final class RelayServer implements AutoCloseable {

	private static final System.Logger LOGGER = System.getLogger(RelayServer.class.getName());

	/** Time to connect to a member in milliseconds; the path is known to work. */
	private static final int CONNECT_TIMEOUT_MILLISECONDS = 100;

	/** Time after which a caller that asked for nothing is cut off. */
	private static final int REQUEST_TIMEOUT_MILLISECONDS = 1_000;

	private final EventLoopGroup loops;

	private final Function<RelayRequest, Optional<String>> members;

	private final Channel listener;

	/**
	 * Starts to listen.
	 * @param loops event loops; members are looked up on them
	 * @param host local address
	 * @param port local port, or 0 for any free port
	 * @param members returns the address of a member that this daemon reaches
	 */
	public RelayServer(EventLoopGroup loops, String host, int port, Function<RelayRequest, Optional<String>> members) {
		this.loops = loops;
		this.members = members;
		this.listener = NettySupport.listen(loops, host, port, new ChannelInitializer<Channel>() {

			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline().addLast(RelayCodec.decoder(), new RequestHandler());
			}

		});
	}

	/**
	 * Returns the channel that accepts connections.
	 * @return the channel
	 */
	Channel listener() {
		return this.listener;
	}

	@Override
	public void close() {
		this.listener.close();
	}

	private final class RequestHandler extends SimpleChannelInboundHandler<ByteBuf> {

		@Override
		public void channelActive(ChannelHandlerContext context) {
			context.executor().schedule(() -> {
				if (!context.isRemoved()) {
					context.close();
				}
			}, REQUEST_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
			// Nothing may arrive before the other side is connected.
			context.channel().config().setAutoRead(false);
			Optional<String> address = RelayServer.this.members.apply(RelayCodec.decode(frame, RelayRequest.class));
			if (address.isEmpty()) {
				refuse(context.channel());
				return;
			}
			Channel caller = context.channel();
			ChannelFuture opening = NettySupport.connect(RelayServer.this.loops, address.get(),
					CONNECT_TIMEOUT_MILLISECONDS, new Pipe(caller));
			opening.addListener((done) -> {
				if (!done.isSuccess()) {
					refuse(caller);
					return;
				}
				join(context, opening.channel());
			});
		}

		private void join(ChannelHandlerContext context, Channel member) {
			Channel caller = context.channel();
			if (!caller.isActive()) {
				member.close();
				return;
			}
			caller.pipeline().addLast(new Pipe(member));
			caller.pipeline().remove(this);
			caller.pipeline().remove(LengthFieldBasedFrameDecoder.class);
			caller.writeAndFlush(RelayCodec.encode(new RelayAnswer(true)));
			caller.config().setAutoRead(true);
		}

		private void refuse(Channel caller) {
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
	 * Writes what one side sends to the other, reading no faster than the other takes it.
	 */
	private static final class Pipe extends ChannelInboundHandlerAdapter {

		private final Channel other;

		Pipe(Channel other) {
			this.other = other;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			this.other.write(message, this.other.voidPromise());
		}

		@Override
		public void channelReadComplete(ChannelHandlerContext context) {
			this.other.flush();
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			this.other.config().setAutoRead(context.channel().isWritable());
			context.fireChannelWritabilityChanged();
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			this.other.close();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
