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
 * Connection of an {@link HttpServer}. Reading stops while a request is in progress, so
 * the requests that wait are bounded by one read. All fields belong to the event loop.
 */
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> {

	/**
	 * Time in which a caller may read an error before its connection is closed. Closing
	 * with unread input would reset the connection and destroy the answer.
	 */
	private static final long LINGER = TimeUnit.SECONDS.toNanos(1);

	private static final byte[] NO_BODY = {};

	private final HttpServer server;

	private final RequestDecoder decoder;

	private ChannelHandlerContext context;

	private Queue<PendingCall> waiting = new ArrayDeque<>(1);

	private HttpRequest head;

	private ByteArrayOutputStream body;

	private Phase phase = Phase.IDLE;

	private boolean receiving;

	private long receiveDeadline;

	private long idleDeadline;

	private Future<?> timer;

	HttpConnection(HttpServer server, RequestDecoder decoder) {
		this.server = server;
		this.decoder = decoder;
	}

	@Override
	public void channelActive(ChannelHandlerContext activated) {
		this.context = activated;
		startIdleTime();
		if (!this.server.opened(this)) {
			refuse(ErrorCode.OVERLOADED, "too many connections");
			return;
		}
		scheduleTimer(this.idleDeadline);
		if (this.server.isDraining()) {
			// Accepted just before the listener closed.
			drain();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactive) {
		this.phase = Phase.CLOSING;
		this.waiting.clear();
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		this.server.closed(this);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext source, HttpObject message) {
		if (this.phase == Phase.CLOSING) {
			return;
		}
		DecoderResult result = message.decoderResult();
		if (result.isFailure()) {
			this.receiving = false;
			refuseAfterWaiting(codeOf(result.cause()), String.valueOf(result.cause().getMessage()));
			return;
		}
		if (message instanceof HttpRequest request) {
			begin(request);
		}
		if (message instanceof HttpContent content && this.head != null) {
			append(content);
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext source) {
		if (this.phase != Phase.CLOSING && !this.receiving && this.decoder.isInsideRequest()) {
			startReceiveTime();
		}
		source.fireChannelReadComplete();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext source, Throwable cause) {
		source.close();
	}

	/**
	 * Closes the connection after the grace period unless a request comes or is in
	 * progress. Called by any thread.
	 */
	void drain() {
		this.context.executor().schedule(() -> {
			if (this.phase == Phase.IDLE && !this.receiving) {
				this.context.close();
			}
		}, this.server.drainGrace().toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Closes the connection at once. Called by any thread.
	 */
	void close() {
		this.context.close();
	}

	private void begin(HttpRequest request) {
		if (HttpUtil.getContentLength(request, 0L) > this.server.settings().maximumBodyBytes()) {
			refuseAfterWaiting(ErrorCode.REQUEST_TOO_LARGE, bodyLimitMessage());
			return;
		}
		this.head = request;
		this.body = null;
		if (HttpUtil.is100ContinueExpected(request) && this.phase == Phase.IDLE) {
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private void append(HttpContent content) {
		ByteBuf bytes = content.content();
		int collected = (this.body != null) ? this.body.size() : 0;
		if (collected + bytes.readableBytes() > this.server.settings().maximumBodyBytes()) {
			this.head = null;
			this.body = null;
			refuseAfterWaiting(ErrorCode.REQUEST_TOO_LARGE, bodyLimitMessage());
			return;
		}
		if (bytes.isReadable()) {
			collect(bytes);
		}
		if (content instanceof LastHttpContent) {
			finishRequest();
		}
	}

	private void collect(ByteBuf bytes) {
		if (this.body == null) {
			this.body = new ByteArrayOutputStream(bytes.readableBytes());
		}
		byte[] part = new byte[bytes.readableBytes()];
		bytes.readBytes(part);
		this.body.writeBytes(part);
	}

	private void finishRequest() {
		HttpRequest request = this.head;
		byte[] received = (this.body != null) ? this.body.toByteArray() : NO_BODY;
		this.head = null;
		this.body = null;
		this.receiving = false;
		HttpServerRequest call;
		try {
			call = call(request, received);
		}
		catch (IllegalArgumentException ex) {
			refuseAfterWaiting(ErrorCode.BAD_REQUEST, ex.getMessage());
			return;
		}
		this.waiting.add(new PendingCall(call, HttpUtil.isKeepAlive(request), null));
		startNext();
	}

	private HttpServerRequest call(HttpRequest request, byte[] received) {
		QueryStringDecoder target = new QueryStringDecoder(request.uri());
		return new HttpServerRequest(request.method().name(), target.path(), firstValues(target), headers(request.headers()),
				received, remoteAddress(), MonotonicClock.SYSTEM.nanoseconds());
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

	private String remoteAddress() {
		SocketAddress remote = this.context.channel().remoteAddress();
		if (remote instanceof InetSocketAddress internet) {
			return internet.getAddress().getHostAddress() + ":" + internet.getPort();
		}
		return String.valueOf(remote);
	}

	private void startNext() {
		if (this.phase != Phase.IDLE) {
			return;
		}
		PendingCall next = this.waiting.poll();
		if (next == null) {
			resume();
			return;
		}
		this.phase = Phase.HANDLING;
		if (next.refusal != null) {
			write(next, next.refusal);
			return;
		}
		this.context.channel().config().setAutoRead(false);
		this.server.handle(next.call).thenAccept((reply) -> replyOnLoop(next, reply));
	}

	private void resume() {
		startIdleTime();
		if (this.receiving) {
			// The time in which the server itself did not read is not the caller's.
			startReceiveTime();
		}
		this.context.channel().config().setAutoRead(true);
	}

	private void replyOnLoop(PendingCall pending, HttpServerResponse reply) {
		if (!this.context.executor().isShuttingDown()) {
			this.context.executor().execute(() -> write(pending, reply));
		}
	}

	private void write(PendingCall pending, HttpServerResponse reply) {
		if (this.phase == Phase.CLOSING) {
			return;
		}
		boolean last = !pending.keepAlive || this.server.isDraining();
		this.phase = Phase.WRITING;
		startIdleTime();
		this.context.writeAndFlush(response(pending, reply, last)).addListener((ChannelFutureListener) (written) -> {
			if (!written.isSuccess()) {
				written.channel().close();
			}
			else if (last) {
				lingerAndClose();
			}
			else {
				this.phase = Phase.IDLE;
				startNext();
			}
		});
	}

	private static FullHttpResponse response(PendingCall pending, HttpServerResponse reply, boolean last) {
		boolean withoutBody = pending.call != null && HttpMethod.HEAD.name().equals(pending.call.method());
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(reply.status()),
				withoutBody ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(reply.body()));
		reply.headers().forEach(response.headers()::set);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
		response.headers().set(HttpHeaderNames.CONNECTION, last ? HttpHeaderValues.CLOSE : HttpHeaderValues.KEEP_ALIVE);
		return response;
	}

	/**
	 * Refuses the request that is being received, after the answers to earlier ones.
	 * @param code the error code
	 * @param message what is wrong
	 */
	private void refuseAfterWaiting(ErrorCode code, String message) {
		this.head = null;
		this.body = null;
		HttpServerResponse refusal = HttpErrors.response(code, Step.RECEIVE, remoteAddress(), message, code.outcome());
		this.waiting.add(new PendingCall(null, false, refusal));
		startNext();
	}

	private void refuse(ErrorCode code, String message) {
		refuseAfterWaiting(code, message);
	}

	private void lingerAndClose() {
		this.phase = Phase.CLOSING;
		this.waiting.clear();
		Channel channel = this.context.channel();
		channel.config().setAutoRead(true);
		if (channel instanceof DuplexChannel duplex) {
			duplex.shutdownOutput();
		}
		this.context.executor().schedule(() -> channel.close(), LINGER, TimeUnit.NANOSECONDS);
	}

	private void startIdleTime() {
		this.idleDeadline = MonotonicClock.SYSTEM.nanoseconds() + this.server.settings().idleTimeout().toNanos();
	}

	private void startReceiveTime() {
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
			startIdleTime();
		}
		else if (this.receiving && this.phase == Phase.IDLE) {
			if (this.receiveDeadline - now <= 0) {
				this.receiving = false;
				refuse(ErrorCode.REQUEST_TIMEOUT, "the request was not received completely in time");
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
		return "a body has at most %d bytes".formatted(this.server.settings().maximumBodyBytes());
	}

	private static ErrorCode codeOf(Throwable cause) {
		boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
		return tooLong ? ErrorCode.REQUEST_TOO_LARGE : ErrorCode.BAD_REQUEST;
	}

	/**
	 * What the connection is doing.
	 */
	private enum Phase {

		/** Waiting for a request, or receiving one. */
		IDLE,
		/** Waiting for the handler. */
		HANDLING,
		/** Writing a reply. */
		WRITING,
		/** Closed, or about to be. */
		CLOSING

	}

	/**
	 * Request that waits for its turn, or the refusal of one.
	 *
	 * @param call the request, or {@code null} if it is refused
	 * @param keepAlive whether the connection stays open after the reply
	 * @param refusal the refusal, or {@code null}
	 */
	private record PendingCall(HttpServerRequest call, boolean keepAlive, HttpServerResponse refusal) {
	}

}
