package org.magnolialead.transport.peer;

import java.lang.System.Logger;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
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

	private final AtomicInteger requestsInProgress = new AtomicInteger();

	private final Supplier<PeerHandler> handlers;

	private final Executor executor;

	private final EventLoopGroup ownEventLoops;

	private final Channel listener;

	/**
	 * Starts a server with a listener and event loops of its own.
	 * @param host local address
	 * @param port local port, or 0 for any free port
	 * @param handler handles the messages of all connections
	 * @param executor executor on which the handler is called
	 */
	public PeerServer(String host, int port, PeerHandler handler, Executor executor) {
		Objects.requireNonNull(handler, "handler must not be null");
		this.handlers = () -> handler;
		this.executor = Objects.requireNonNull(executor, "executor must not be null");
		this.ownEventLoops = NettySupport.eventLoops("peer-server", EVENT_LOOP_THREADS);
		this.listener = NettySupport.listen(this.ownEventLoops, host, port, new PipelineInitializer());
	}

	/**
	 * Creates a server for connections that another listener accepts.
	 * @param handlers creates the handler of each connection
	 * @param executor executor on which the handlers are called
	 */
	public PeerServer(Supplier<PeerHandler> handlers, Executor executor) {
		this.handlers = Objects.requireNonNull(handlers, "handlers must not be null");
		this.executor = Objects.requireNonNull(executor, "executor must not be null");
		this.ownEventLoops = null;
		this.listener = null;
	}

	/**
	 * Adds the handlers of this server to an accepted connection.
	 * @param pipeline pipeline of the connection
	 */
	public void addTo(ChannelPipeline pipeline) {
		pipeline
			.addLast(
					new FlushConsolidationHandler(FlushConsolidationHandler.DEFAULT_EXPLICIT_FLUSH_AFTER_FLUSHES, true))
			.addLast(new LengthFieldBasedFrameDecoder(PeerCodec.MAXIMUM_FRAME_BYTES, 0, PeerCodec.LENGTH_BYTES, 0,
					PeerCodec.LENGTH_BYTES))
			.addLast(new ConnectionHandler(this.handlers.get()));
	}

	/**
	 * Returns the port on which the server listens. Must not be called if another
	 * listener accepts the connections.
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
		if (this.listener != null) {
			this.listener.close();
			NettySupport.shutDown(this.ownEventLoops);
		}
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
			addTo(channel.pipeline());
		}

	}

	/**
	 * Handler of a connection. All fields are accessed only by its event loop.
	 */
	private final class ConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {

		private final PeerHandler handler;

		private int inProgress;

		private ConnectionHandler(PeerHandler handler) {
			this.handler = handler;
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			try {
				PeerServer.this.executor.execute(this.handler::connectionClosed);
			}
			catch (RejectedExecutionException ex) {
				// The process is shutting down and has released everything.
				context.fireChannelInactive();
				return;
			}
			context.fireChannelInactive();
		}

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
			if (this.handler.isUrgent(frame.message())) {
				handle(context, frame);
				return;
			}
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
				answer = this.handler.handle(frame.message());
			}
			catch (RuntimeException | Error ex) {
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
