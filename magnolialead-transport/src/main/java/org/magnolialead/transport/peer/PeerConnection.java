package org.magnolialead.transport.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;
import org.magnolialead.api.message.ErrorAnswer;
import org.magnolialead.transport.netty.NettySupport;

/**
 * Connection of a {@link PeerClient} to one address. Opens the connection on demand, with
 * exponential backoff after a failure. All fields except the byte count are accessed only
 * by the event loop.
 */
final class PeerConnection {

	/**
	 * Maximum number of bytes queued for the connection: eight frames of the maximum
	 * size.
	 */
	static final long MAXIMUM_QUEUED_BYTES = 8L * PeerCodec.MAXIMUM_FRAME_BYTES;

	/**
	 * Time without a byte after which the peer no longer counts as sending.
	 */
	private static final long MAXIMUM_READ_PAUSE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);

	private static final long MINIMUM_BACKOFF_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(25);

	/**
	 * Maximum delay before the next connection attempt. When a whole fleet restarts, no
	 * process may wait much longer for a peer than the peer takes to start.
	 */
	private static final long MAXIMUM_BACKOFF_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(150);

	private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();

	private final Queue<QueuedFrame> queuedFrames = new ArrayDeque<>();

	private final AtomicLong queuedBytes = new AtomicLong();

	private final String address;

	private final EventLoop eventLoop;

	private final PeerCodec codec;

	private final MonotonicClock clock;

	private final Executor completionExecutor;

	private final PeerConnectionSettings settings;

	private Channel channel;

	private boolean connecting;

	private boolean closed;

	private long backoffNanoseconds;

	private long nextAttemptTime;

	private boolean receivedSinceWrite;

	private long lastReadTime;

	private boolean probeScheduled;

	PeerConnection(String address, EventLoop eventLoop, PeerCodec codec, MonotonicClock clock,
			Executor completionExecutor, PeerConnectionSettings settings) {
		this.address = address;
		this.eventLoop = eventLoop;
		this.codec = codec;
		this.clock = clock;
		this.completionExecutor = completionExecutor;
		this.settings = settings;
	}

	CompletableFuture<Object> request(long correlationId, ByteBuf frame, long deadline, long receiveDeadline) {
		CompletableFuture<Object> answer = new CompletableFuture<>();
		PendingRequest request = new PendingRequest(correlationId, answer, deadline, receiveDeadline);
		if (!reserveBytes(frame.readableBytes())) {
			return CompletableFuture
				.failedFuture(failure(ErrorCode.OVERLOADED, "too many bytes are queued for the connection", null));
		}
		if (!runOnEventLoop(() -> submit(new QueuedFrame(frame, frame.readableBytes(), request)))) {
			return CompletableFuture.failedFuture(failure(ErrorCode.UNREACHABLE, "the peer client is closed", null));
		}
		return answer;
	}

	void send(ByteBuf frame) {
		if (reserveBytes(frame.readableBytes())) {
			runOnEventLoop(() -> submit(new QueuedFrame(frame, frame.readableBytes(), null)));
		}
	}

	void close() {
		runOnEventLoop(() -> {
			this.closed = true;
			if (this.channel != null) {
				this.channel.close();
			}
			failQueued("the peer client was closed", null);
		});
	}

	private boolean runOnEventLoop(Runnable task) {
		try {
			this.eventLoop.execute(task);
			return true;
		}
		catch (RejectedExecutionException ex) {
			return false;
		}
	}

	private boolean reserveBytes(int bytes) {
		if (this.queuedBytes.addAndGet(bytes) <= MAXIMUM_QUEUED_BYTES) {
			return true;
		}
		this.queuedBytes.addAndGet(-bytes);
		return false;
	}

	private void submit(QueuedFrame frame) {
		long now = this.clock.nanoseconds();
		if (frame.request != null && frame.request.deadline - now <= 0) {
			drop(frame, "the deadline had passed before the request was sent", null);
			return;
		}
		if (this.closed) {
			drop(frame, "the peer client is closed", null);
			return;
		}
		if (this.channel != null) {
			startDeadlineTimer(frame, now);
			write(frame);
			return;
		}
		if (!this.connecting && this.backoffNanoseconds != 0 && now - this.nextAttemptTime < 0) {
			drop(frame, "the last attempt to connect failed", null);
			return;
		}
		startDeadlineTimer(frame, now);
		this.queuedFrames.add(frame);
		if (!this.connecting) {
			connect();
		}
	}

	private void startDeadlineTimer(QueuedFrame frame, long now) {
		PendingRequest request = frame.request;
		if (request == null) {
			return;
		}
		this.pendingRequests.put(request.correlationId, request);
		request.timer = this.eventLoop.schedule(() -> expire(frame), request.deadline - now, TimeUnit.NANOSECONDS);
	}

	private void expire(QueuedFrame frame) {
		if (this.queuedFrames.remove(frame)) {
			drop(frame, "the connection was not open before the deadline", null);
			return;
		}
		if (isReceiving() && this.clock.nanoseconds() - frame.request.receiveDeadline < 0) {
			frame.request.timer = this.eventLoop.schedule(() -> expire(frame), MAXIMUM_READ_PAUSE_NANOSECONDS,
					TimeUnit.NANOSECONDS);
			return;
		}
		if (this.pendingRequests.remove(frame.request.correlationId) != null) {
			complete(frame.request, failure(ErrorCode.NO_ANSWER, "no answer was received before the deadline", null));
		}
	}

	private boolean isReceiving() {
		return this.channel != null && this.clock.nanoseconds() - this.lastReadTime < MAXIMUM_READ_PAUSE_NANOSECONDS;
	}

	private void connect() {
		this.connecting = true;
		try {
			ChannelFuture opening = NettySupport.connect(this.eventLoop, this.address,
					this.settings.connectTimeoutMilliseconds(), new PipelineInitializer());
			opening.addListener((done) -> connected(opening));
		}
		catch (IllegalArgumentException ex) {
			connectFailed(ex);
		}
	}

	private void connected(ChannelFuture opening) {
		if (!opening.isSuccess()) {
			connectFailed(opening.cause());
			return;
		}
		this.connecting = false;
		if (this.closed) {
			opening.channel().close();
			return;
		}
		if (!opening.channel().isActive()) {
			connectFailed(null);
			return;
		}
		this.channel = opening.channel();
		this.receivedSinceWrite = true;
		Channel opened = this.channel;
		while (this.channel == opened && !this.queuedFrames.isEmpty()) {
			write(this.queuedFrames.remove());
		}
	}

	private void connectFailed(Throwable cause) {
		this.connecting = false;
		startBackoff();
		failQueued("the connection could not be opened", cause);
	}

	private void startBackoff() {
		this.backoffNanoseconds = Math.min(MAXIMUM_BACKOFF_NANOSECONDS,
				Math.max(MINIMUM_BACKOFF_NANOSECONDS, this.backoffNanoseconds * 2));
		// The jitter keeps daemons from reconnecting to a restarted peer all at once.
		long delayNanoseconds = this.backoffNanoseconds / 2
				+ ThreadLocalRandom.current().nextLong(this.backoffNanoseconds / 2);
		this.nextAttemptTime = this.clock.nanoseconds() + delayNanoseconds;
	}

	private void failQueued(String reason, Throwable cause) {
		while (!this.queuedFrames.isEmpty()) {
			drop(this.queuedFrames.remove(), reason, cause);
		}
	}

	private void write(QueuedFrame frame) {
		Channel target = this.channel;
		scheduleProbe();
		target.writeAndFlush(frame.bytes).addListener((done) -> {
			this.queuedBytes.addAndGet(-frame.size);
			// Netty fails a write only if some of its bytes were not written to the
			// socket, and a peer does not handle an incomplete frame.
			if (!done.isSuccess() && frame.request != null
					&& this.pendingRequests.remove(frame.request.correlationId) != null) {
				complete(frame.request,
						failure(ErrorCode.UNREACHABLE, "the request could not be written", done.cause()));
			}
		});
	}

	private void drop(QueuedFrame frame, String reason, Throwable cause) {
		this.queuedBytes.addAndGet(-frame.size);
		if (frame.request != null) {
			this.pendingRequests.remove(frame.request.correlationId);
			complete(frame.request, failure(ErrorCode.UNREACHABLE, reason, cause));
		}
	}

	private void scheduleProbe() {
		if (!this.probeScheduled) {
			this.probeScheduled = true;
			this.receivedSinceWrite = false;
			Channel probed = this.channel;
			this.eventLoop.schedule(() -> probe(probed, false), this.settings.probeIntervalMilliseconds(),
					TimeUnit.MILLISECONDS);
		}
	}

	private void probe(Channel probed, boolean probeSent) {
		if (this.channel != probed) {
			return;
		}
		if (this.receivedSinceWrite) {
			this.probeScheduled = false;
			return;
		}
		if (probeSent) {
			probed.close();
			return;
		}
		probed.writeAndFlush(PeerCodec.encodeProbe(0));
		this.eventLoop.schedule(() -> probe(probed, true), this.settings.probeIntervalMilliseconds(),
				TimeUnit.MILLISECONDS);
	}

	private void receive(PeerFrame frame) {
		// Late or duplicate answers have no pending request and are dropped.
		PendingRequest request = this.pendingRequests.remove(frame.correlationId());
		if (request == null) {
			return;
		}
		if (frame.message() instanceof ErrorAnswer error) {
			complete(request, new MagnolialeadException(error.error(), error.step(), this.address, error.message()));
			return;
		}
		complete(request, frame.message());
	}

	private void disconnected() {
		this.channel = null;
		this.probeScheduled = false;
		startBackoff();
		List<PendingRequest> lost = new ArrayList<>(this.pendingRequests.values());
		this.pendingRequests.clear();
		lost.forEach((request) -> complete(request,
				failure(ErrorCode.NO_ANSWER, "the connection was lost before the answer", null)));
	}

	private void complete(PendingRequest request, Object result) {
		if (request.timer != null) {
			request.timer.cancel(false);
		}
		try {
			this.completionExecutor.execute(() -> request.complete(result));
		}
		catch (RejectedExecutionException ex) {
			// The executor is shut down, but the future must still be completed.
			request.complete(result);
		}
	}

	private MagnolialeadException failure(ErrorCode code, String message, Throwable cause) {
		return new MagnolialeadException(code, Step.FORWARD, this.address, message, cause);
	}

	private static final class PendingRequest {

		private final long correlationId;

		private final CompletableFuture<Object> answer;

		private final long deadline;

		private final long receiveDeadline;

		private Future<?> timer;

		PendingRequest(long correlationId, CompletableFuture<Object> answer, long deadline, long receiveDeadline) {
			this.correlationId = correlationId;
			this.answer = answer;
			this.deadline = deadline;
			this.receiveDeadline = receiveDeadline;
		}

		void complete(Object result) {
			if (result instanceof MagnolialeadException failure) {
				this.answer.completeExceptionally(failure);
			}
			else {
				this.answer.complete(result);
			}
		}

	}

	private static final class QueuedFrame {

		private final ByteBuf bytes;

		private final int size;

		private final PendingRequest request;

		QueuedFrame(ByteBuf bytes, int size, PendingRequest request) {
			this.bytes = bytes;
			this.size = size;
			this.request = request;
		}

	}

	private final class PipelineInitializer extends ChannelInitializer<Channel> {

		@Override
		protected void initChannel(Channel target) {
			target.pipeline()
				.addLast(new FlushConsolidationHandler(FlushConsolidationHandler.DEFAULT_EXPLICIT_FLUSH_AFTER_FLUSHES,
						true))
				.addLast(new ReadMonitor())
				.addLast(new LengthFieldBasedFrameDecoder(PeerCodec.MAXIMUM_FRAME_BYTES, 0, PeerCodec.LENGTH_BYTES, 0,
						PeerCodec.LENGTH_BYTES))
				.addLast(new AnswerHandler());
		}

	}

	/**
	 * Notes that bytes arrive. A large frame takes longer to arrive over a slow link than
	 * a peer is given to answer a probe.
	 */
	private final class ReadMonitor extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object bytes) {
			PeerConnection.this.receivedSinceWrite = true;
			PeerConnection.this.lastReadTime = PeerConnection.this.clock.nanoseconds();
			context.fireChannelRead(bytes);
		}

	}

	private final class AnswerHandler extends SimpleChannelInboundHandler<ByteBuf> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
			PeerConnection.this.backoffNanoseconds = 0;
			if (!PeerCodec.isProbe(frame)) {
				receive(PeerConnection.this.codec.decode(frame));
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (context.channel() == PeerConnection.this.channel) {
				disconnected();
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
