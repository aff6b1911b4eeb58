package org.magnolialead.transport.http;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;

/**
 * Connection of an {@link HttpServer}. Does not read from the socket while a request is
 * in progress, so at most the requests of one read are queued. All fields are accessed
 * only by the event loop, except the volatile ones, which other event loops read.
 */
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> {

	/**
	 * Time for which the connection stays open after its last response, so that the
	 * caller can read it. Closing a socket with unread input would reset the connection
	 * and discard the response.
	 */
	private static final long LINGER_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	private static final byte[] NO_BODY = {};

	private final HttpServer server;

	private final RequestDecoder decoder;

	private final long number;

	private ChannelHandlerContext context;

	/** Whether a complete request was received. */
	private volatile boolean requestReceived;

	/** Size of the body that is being received. */
	private volatile int receivedBodyBytes;

	/** Size of the bodies of requests that are queued or handled. */
	private int queuedBodyBytes;

	private Queue<PendingRequest> queuedRequests = new ArrayDeque<>(1);

	private HttpRequest currentRequest;

	private ByteArrayOutputStream body;

	private Phase phase = Phase.IDLE;

	private boolean receiving;

	private long receiveDeadline;

	private long idleDeadline;

	private Future<?> timer;

	HttpConnection(HttpServer server, RequestDecoder decoder) {
		this.server = server;
		this.decoder = decoder;
		this.number = server.nextConnectionNumber();
	}

	/**
	 * Returns the number of the connection. May be called by any thread.
	 * @return a number that is greater than those of earlier connections
	 */
	long number() {
		return this.number;
	}

	/**
	 * Tells whether the connection may be closed for a new one. May be called by any
	 * thread.
	 * @return {@code true} until a complete request was received
	 */
	boolean isReplaceable() {
		return !this.requestReceived;
	}

	/**
	 * Closes the connection for a new one. May be called by any thread.
	 */
	void replace() {
		// Not chosen again until it is closed.
		this.requestReceived = true;
		this.context.close();
	}

	/**
	 * Returns the size of the body that is being received. May be called by any thread.
	 * @return the size in bytes
	 */
	int receivedBodyBytes() {
		return this.receivedBodyBytes;
	}

	/**
	 * Refuses the request whose body is being received. May be called by any thread.
	 */
	void refuseBody() {
		this.context.executor().execute(() -> {
			if (this.currentRequest != null && this.body != null) {
				rejectAfterQueued(ErrorCode.OVERLOADED, "too many large requests are in progress");
			}
		});
	}

	private void dropReceivedBody() {
		this.body = null;
		this.server.bodyReleased(this.receivedBodyBytes);
		this.receivedBodyBytes = 0;
	}

	private void releaseQueuedBodies() {
		this.server.bodyReleased(this.queuedBodyBytes);
		this.queuedBodyBytes = 0;
	}

	@Override
	public void channelActive(ChannelHandlerContext handlerContext) {
		this.context = handlerContext;
		restartIdleTimeout();
		if (!this.server.register(this)) {
			reject(ErrorCode.OVERLOADED, "too many connections");
			return;
		}
		scheduleTimer(this.idleDeadline);
		if (this.server.isDraining()) {
			// The connection was accepted just before the listener was closed.
			drain();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext handlerContext) {
		this.phase = Phase.CLOSING;
		this.queuedRequests.clear();
		dropReceivedBody();
		releaseQueuedBodies();
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		this.server.unregister(this);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext handlerContext, HttpObject message) {
		if (this.phase == Phase.CLOSING) {
			return;
		}
		DecoderResult result = message.decoderResult();
		if (result.isFailure()) {
			this.receiving = false;
			rejectAfterQueued(codeOf(result.cause()), String.valueOf(result.cause().getMessage()));
			return;
		}
		if (message instanceof HttpRequest request) {
			startRequest(request);
		}
		if (message instanceof HttpContent content && this.currentRequest != null) {
			appendContent(content);
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext handlerContext) {
		if (this.phase != Phase.CLOSING && !this.receiving && this.decoder.isReceivingRequest()) {
			restartReceiveTimeout();
		}
		handlerContext.fireChannelReadComplete();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
		handlerContext.close();
	}

	/**
	 * Closes the connection after the grace period if it is idle then. May be called by
	 * any thread.
	 */
	void drain() {
		this.context.executor().schedule(() -> {
			if (this.phase == Phase.IDLE && !this.receiving) {
				this.context.close();
			}
		}, this.server.drainGracePeriod().toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Closes the connection immediately. May be called by any thread.
	 */
	void close() {
		this.context.close();
	}

	private void startRequest(HttpRequest request) {
		if (HttpUtil.getContentLength(request, 0L) > this.server.settings().maximumBodyBytes()) {
			rejectAfterQueued(ErrorCode.REQUEST_TOO_LARGE, bodyLimitMessage());
			return;
		}
		this.currentRequest = request;
		this.body = null;
		if (HttpUtil.is100ContinueExpected(request) && this.phase == Phase.IDLE) {
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private void appendContent(HttpContent content) {
		ByteBuf bytes = content.content();
		int receivedBytes = (this.body != null) ? this.body.size() : 0;
		if (receivedBytes + bytes.readableBytes() > this.server.settings().maximumBodyBytes()) {
			rejectAfterQueued(ErrorCode.REQUEST_TOO_LARGE, bodyLimitMessage());
			return;
		}
		if (bytes.isReadable()) {
			appendBody(bytes);
		}
		if (content instanceof LastHttpContent) {
			finishRequest();
		}
	}

	private void appendBody(ByteBuf bytes) {
		if (this.body == null) {
			this.body = new ByteArrayOutputStream(bytes.readableBytes());
		}
		byte[] chunk = new byte[bytes.readableBytes()];
		bytes.readBytes(chunk);
		this.body.writeBytes(chunk);
		this.receivedBodyBytes += chunk.length;
		this.server.bodyReceived(this, chunk.length);
	}

	private void finishRequest() {
		HttpRequest request = this.currentRequest;
		byte[] received = (this.body != null) ? this.body.toByteArray() : NO_BODY;
		this.currentRequest = null;
		this.body = null;
		this.queuedBodyBytes += this.receivedBodyBytes;
		this.receivedBodyBytes = 0;
		this.requestReceived = true;
		this.receiving = false;
		HttpServerRequest serverRequest;
		try {
			serverRequest = parse(request, received);
		}
		catch (IllegalArgumentException ex) {
			rejectAfterQueued(ErrorCode.BAD_REQUEST, ex.getMessage());
			return;
		}
		this.queuedRequests.add(new PendingRequest(serverRequest, HttpUtil.isKeepAlive(request), null));
		startNextRequest();
	}

	private HttpServerRequest parse(HttpRequest request, byte[] received) {
		QueryStringDecoder target = new QueryStringDecoder(request.uri());
		return new HttpServerRequest(request.method().name(), target.path(), firstValues(target),
				headers(request.headers()), received, remoteAddress(), MonotonicClock.SYSTEM.nanoseconds());
	}

	private static Map<String, String> firstValues(QueryStringDecoder target) {
		Map<String, String> values = new HashMap<>();
		for (Map.Entry<String, List<String>> parameter : target.parameters().entrySet()) {
			values.put(parameter.getKey(), parameter.getValue().get(0));
		}
		return values;
	}

	private static Map<String, String> headers(HttpHeaders source) {
		Map<String, String> values = new HashMap<>();
		source.forEach((header) -> values.merge(header.getKey().toLowerCase(Locale.ROOT), header.getValue(),
				(first, second) -> first + "," + second));
		return values;
	}

	String remoteAddress() {
		SocketAddress remote = this.context.channel().remoteAddress();
		if (remote instanceof InetSocketAddress internet) {
			return internet.getAddress().getHostAddress() + ":" + internet.getPort();
		}
		return String.valueOf(remote);
	}

	private void startNextRequest() {
		if (this.phase != Phase.IDLE) {
			return;
		}
		PendingRequest next = this.queuedRequests.poll();
		if (next == null) {
			releaseQueuedBodies();
			resumeReading();
			return;
		}
		this.phase = Phase.HANDLING;
		if (next.rejection != null) {
			write(next, next.rejection);
			return;
		}
		this.context.channel().config().setAutoRead(false);
		this.server.handle(next.request).thenAccept((response) -> writeOnEventLoop(next, response));
	}

	private void resumeReading() {
		restartIdleTimeout();
		if (this.receiving) {
			// The time in which the server did not read must not count against the
			// caller's receive timeout.
			restartReceiveTimeout();
		}
		this.context.channel().config().setAutoRead(true);
	}

	private void writeOnEventLoop(PendingRequest pending, HttpServerResponse response) {
		if (!this.context.executor().isShuttingDown()) {
			this.context.executor().execute(() -> write(pending, response));
		}
	}

	private void write(PendingRequest pending, HttpServerResponse response) {
		if (this.phase == Phase.CLOSING) {
			return;
		}
		boolean lastResponse = !pending.keepAlive || this.server.isDraining();
		this.phase = Phase.WRITING;
		restartIdleTimeout();
		this.context.writeAndFlush(encode(pending, response, lastResponse))
			.addListener((ChannelFutureListener) (written) -> {
				if (!written.isSuccess()) {
					written.channel().close();
				}
				else if (lastResponse) {
					lingerAndClose();
				}
				else {
					this.phase = Phase.IDLE;
					startNextRequest();
				}
			});
	}

	private static FullHttpResponse encode(PendingRequest pending, HttpServerResponse response, boolean lastResponse) {
		boolean withoutBody = pending.request != null && HttpMethod.HEAD.name().equals(pending.request.method());
		FullHttpResponse httpResponse = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(response.status()),
				withoutBody ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(response.body()));
		response.headers().forEach(httpResponse.headers()::set);
		httpResponse.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
		httpResponse.headers()
			.set(HttpHeaderNames.CONNECTION, lastResponse ? HttpHeaderValues.CLOSE : HttpHeaderValues.KEEP_ALIVE);
		return httpResponse;
	}

	/**
	 * Rejects the request that is being received, after the responses to earlier ones.
	 * @param code the error code
	 * @param message description of the error
	 */
	private void rejectAfterQueued(ErrorCode code, String message) {
		this.currentRequest = null;
		dropReceivedBody();
		HttpServerResponse rejection = HttpErrors.response(code, Step.RECEIVE, remoteAddress(), message,
				code.outcome());
		this.queuedRequests.add(new PendingRequest(null, false, rejection));
		startNextRequest();
	}

	private void reject(ErrorCode code, String message) {
		rejectAfterQueued(code, message);
	}

	private void lingerAndClose() {
		this.phase = Phase.CLOSING;
		this.queuedRequests.clear();
		Channel channel = this.context.channel();
		channel.config().setAutoRead(true);
		if (channel instanceof DuplexChannel duplex) {
			duplex.shutdownOutput();
		}
		this.context.executor().schedule(() -> channel.close(), LINGER_NANOSECONDS, TimeUnit.NANOSECONDS);
	}

	private void restartIdleTimeout() {
		this.idleDeadline = MonotonicClock.SYSTEM.nanoseconds() + this.server.settings().idleTimeout().toNanos();
	}

	private void restartReceiveTimeout() {
		this.receiving = true;
		this.receiveDeadline = MonotonicClock.SYSTEM.nanoseconds() + this.server.settings().receiveTimeout().toNanos();
		scheduleTimer(this.receiveDeadline);
	}

	private void scheduleTimer(long deadline) {
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		long delay = Math.max(0, deadline - MonotonicClock.SYSTEM.nanoseconds());
		this.timer = this.context.executor().schedule(this::checkDeadlines, delay, TimeUnit.NANOSECONDS);
	}

	private void checkDeadlines() {
		long now = MonotonicClock.SYSTEM.nanoseconds();
		if (this.phase == Phase.CLOSING) {
			return;
		}
		if (this.phase == Phase.HANDLING) {
			restartIdleTimeout();
		}
		else if (this.receiving && this.phase == Phase.IDLE) {
			if (this.receiveDeadline - now <= 0) {
				this.receiving = false;
				reject(ErrorCode.REQUEST_TIMEOUT, "the request was not received completely within the receive timeout");
				return;
			}
			scheduleTimer(this.receiveDeadline);
			return;
		}
		else if (this.idleDeadline - now <= 0) {
			this.context.close();
			return;
		}
		scheduleTimer(this.idleDeadline);
	}

	private String bodyLimitMessage() {
		return "the request body exceeds the limit of %d bytes".formatted(this.server.settings().maximumBodyBytes());
	}

	private static ErrorCode codeOf(Throwable cause) {
		boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
		return tooLong ? ErrorCode.REQUEST_TOO_LARGE : ErrorCode.BAD_REQUEST;
	}

	/**
	 * Phase of the request cycle of the connection.
	 */
	private enum Phase {

		/** Waiting for a request or receiving one. */
		IDLE,
		/** Waiting for the handler. */
		HANDLING,
		/** Writing a response. */
		WRITING,
		/** Closing or closed. */
		CLOSING

	}

	/**
	 * Queued request, or the response that rejects one.
	 *
	 * @param request the request, or {@code null} if it is rejected
	 * @param keepAlive whether the connection stays open after the response
	 * @param rejection the response that rejects the request, or {@code null}
	 */
	private record PendingRequest(HttpServerRequest request, boolean keepAlive, HttpServerResponse rejection) {
	}

}
