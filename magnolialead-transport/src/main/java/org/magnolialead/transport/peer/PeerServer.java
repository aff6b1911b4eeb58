package org.magnolialead.transport.peer;

import java.lang.System.Logger;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.message.ErrorAnswer;
import org.magnolialead.transport.netty.NettySupport;

/**
 * Accepts connections of other magnolialead processes. Malformed input closes only the
 * connection on which it was received.
 */
public final class PeerServer implements AutoCloseable {

	private static final Logger LOGGER = System.getLogger(PeerServer.class.getName());

	private static final int EVENT_LOOP_THREADS = 2;

	/**
	 * Maximum number of requests in progress on a connection. While it is reached, the
	 * connection is not read, which limits the memory that one peer can occupy.
	 */
	private static final int MAXIMUM_REQUESTS_IN_PROGRESS_PER_CONNECTION = 4_096;

	private final PeerCodec codec = new PeerCodec();

	private final EventLoopGroup eventLoops = NettySupport.eventLoops("peer-server", EVENT_LOOP_THREADS);

	private final AtomicInteger requestsInProgress = new AtomicInteger();

	private final PeerHandler handler;

	private final Executor executor;

	private final Channel listener;

	/**
	 * Starts a server.
	 * @param host local address
	 * @param port local port, or 0 for any free port
	 * @param handler handles the messages
	 * @param executor executor on which the handler is called
	 */
	public PeerServer(String host, int port, PeerHandler handler, Executor executor) {
		this.handler = Objects.requireNonNull(handler, "handler must not be null");
		this.executor = Objects.requireNonNull(executor, "executor must not be null");
		this.listener = NettySupport.listen(this.eventLoops, host, port, new PipelineInitializer());
	}

	/**
	 * Returns the port on which the server listens.
	 * @return the local port
	 */
	public int port() {
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	/**
	 * Returns the number of received messages whose handling or answer is not complete.
	 * The server can be closed without losing answers once this is 0 and no peer sends
	 * messages any more.
	 * @return the number of messages
	 */
	public int requestsInProgress() {
		return this.requestsInProgress.get();
	}

	@Override
	public void close() {
		this.listener.close();
		NettySupport.shutDown(this.eventLoops);
	}

	private static ErrorAnswer errorAnswer(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause()
				: failure;
		if (cause instanceof MagnolialeadException known) {
			return new ErrorAnswer(known.code(), known.step(), known.getMessage());
		}
		if (cause instanceof RejectedExecutionException) {
			return new ErrorAnswer(ErrorCode.OVERLOADED, Step.FORWARD, "no thread is available to handle the message");
		}
		LogEvent.PEER_HANDLER_FAILED.log(LOGGER, cause);
		return new ErrorAnswer(ErrorCode.INVARIANT_VIOLATED, Step.FORWARD, String.valueOf(cause));
	}

	private final class PipelineInitializer extends ChannelInitializer<Channel> {

		@Override
		protected void initChannel(Channel channel) {
			channel.pipeline()
				.addLast(new FlushConsolidationHandler(FlushConsolidationHandler.DEFAULT_EXPLICIT_FLUSH_AFTER_FLUSHES,
						true))
				.addLast(new LengthFieldBasedFrameDecoder(PeerCodec.MAXIMUM_FRAME_BYTES, 0, PeerCodec.LENGTH_BYTES, 0,
						PeerCodec.LENGTH_BYTES))
				.addLast(new ConnectionHandler());
		}

	}

	/**
	 * Handler of a connection. All fields are accessed only by its event loop.
	 */
	private final class ConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {

		private int inProgress;

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
			if (PeerCodec.isProbe(frame)) {
				frame.skipBytes(Byte.BYTES);
				context.writeAndFlush(PeerCodec.encodeProbe(frame.readLong()));
				return;
			}
			PeerFrame decoded = PeerServer.this.codec.decode(frame);
			this.inProgress++;
			PeerServer.this.requestsInProgress.incrementAndGet();
			updateAutoRead(context);
			dispatch(context, decoded);
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			updateAutoRead(context);
			context.fireChannelWritabilityChanged();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			NettySupport.logUnlessConnectionLost(LogEvent.PEER_CONNECTION_DAMAGED, LOGGER, cause,
					context.channel().remoteAddress());
			context.close();
		}

		private void dispatch(ChannelHandlerContext context, PeerFrame frame) {
			try {
				PeerServer.this.executor.execute(() -> handle(context, frame));
			}
			catch (RejectedExecutionException ex) {
				finish(context, frame, null, ex);
			}
		}

		private void handle(ChannelHandlerContext context, PeerFrame frame) {
			CompletableFuture<Object> answer;
			try {
				answer = PeerServer.this.handler.handle(frame.message());
			}
			catch (RuntimeException ex) {
				answer = CompletableFuture.failedFuture(ex);
			}
			if (answer == null) {
				finish(context, frame, null, null);
				return;
			}
			answer.whenComplete((message, failure) -> finish(context, frame, message, failure));
		}

		private void finish(ChannelHandlerContext context, PeerFrame frame, Object message, Throwable failure) {
			ByteBuf encoded = null;
			if (frame.correlationId() != 0) {
				encoded = encodeAnswer(frame.correlationId(), message, failure);
			}
			else if (failure != null) {
				// Logs an unexpected failure. The answer is not sent because the sender
				// does not expect one.
				errorAnswer(failure);
			}
			ByteBuf answer = encoded;
			if (context.executor().isShuttingDown()) {
				PeerServer.this.requestsInProgress.decrementAndGet();
				return;
			}
			context.executor().execute(() -> writeAnswer(context, answer));
		}

		private ByteBuf encodeAnswer(long correlationId, Object message, Throwable failure) {
			if (failure == null && message == null) {
				return null;
			}
			try {
				Object answer = (failure != null) ? errorAnswer(failure) : message;
				return PeerServer.this.codec.encode(correlationId, answer);
			}
			catch (IllegalArgumentException ex) {
				return PeerServer.this.codec.encode(correlationId, errorAnswer(ex));
			}
		}

		private void writeAnswer(ChannelHandlerContext context, ByteBuf answer) {
			this.inProgress--;
			if (answer != null) {
				context.writeAndFlush(answer)
					.addListener((written) -> PeerServer.this.requestsInProgress.decrementAndGet());
			}
			else {
				PeerServer.this.requestsInProgress.decrementAndGet();
			}
			updateAutoRead(context);
		}

		private void updateAutoRead(ChannelHandlerContext context) {
			boolean hasCapacity = this.inProgress < MAXIMUM_REQUESTS_IN_PROGRESS_PER_CONNECTION;
			context.channel().config().setAutoRead(hasCapacity && context.channel().isWritable());
		}

	}

}
