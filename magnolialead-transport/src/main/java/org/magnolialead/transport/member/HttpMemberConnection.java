package org.magnolialead.transport.member;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;

/**
 * Connection to a database member over HTTP/1.1.
 */
final class HttpMemberConnection extends SimpleChannelInboundHandler<FullHttpResponse> implements MemberConnection {

	static final String REQUEST_ID_HEADER = "X-Request-Id";

	static final String TERM_HEADER = "Magnolialead-Term";

	static final String POSITION_TERM_HEADER = "Magnolialead-Position-Term";

	static final String POSITION_INDEX_HEADER = "Magnolialead-Position-Index";

	static final String MEMBER_HEADER = "Magnolialead-Member";

	private final AtomicBoolean busy = new AtomicBoolean();

	private final CompletableFuture<Void> closed = new CompletableFuture<>();

	private final String address;

	private final MonotonicClock clock;

	private final Supplier<String> requestIds;

	private volatile Channel channel;

	private volatile boolean usable = true;

	/** The exchange in progress. Accessed only by the event loop. */
	private Exchange current;

	HttpMemberConnection(String address, MonotonicClock clock, Supplier<String> requestIds) {
		this.address = address;
		this.clock = clock;
		this.requestIds = requestIds;
	}

	@Override
	public CompletableFuture<MemberResponse> exchange(MemberRequest request, long deadline) {
		Objects.requireNonNull(request, "request must not be null");
		if (!this.busy.compareAndSet(false, true)) {
			throw new IllegalStateException("another exchange with " + this.address + " is in progress");
		}
		Exchange exchange = new Exchange(this.requestIds.get());
		try {
			this.channel.eventLoop().execute(() -> start(exchange, request, deadline));
		}
		catch (RejectedExecutionException ex) {
			fail(exchange, unsentFailure("the connector is closed", ex));
		}
		return exchange.response;
	}

	@Override
	public boolean isOpen() {
		return this.usable && this.channel.isActive();
	}

	@Override
	public void close() {
		this.usable = false;
		this.channel.close();
	}

	@Override
	public CompletableFuture<Void> closed() {
		return this.closed.copy();
	}

	@Override
	public String address() {
		return this.address;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
		this.channel.closeFuture().addListener((done) -> this.closed.complete(null));
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
		Exchange exchange = this.current;
		if (exchange == null) {
			close();
			return;
		}
		MemberResponse memberResponse;
		try {
			memberResponse = parse(exchange, response);
		}
		catch (IllegalArgumentException ex) {
			close();
			finish(exchange, null, noResponseFailure(ex.getMessage(), ex));
			return;
		}
		if (!HttpUtil.isKeepAlive(response)) {
			close();
		}
		finish(exchange, memberResponse, null);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.usable = false;
		if (this.current != null) {
			finish(this.current, null,
					noResponseFailure("the connection was closed before the response was received", null));
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		close();
		if (this.current != null) {
			finish(this.current, null, noResponseFailure("the response could not be read", cause));
		}
	}

	private void start(Exchange exchange, MemberRequest request, long deadline) {
		long remainingNanoseconds = deadline - this.clock.nanoseconds();
		if (!isOpen() || remainingNanoseconds <= 0) {
			close();
			fail(exchange, unsentFailure(
					(remainingNanoseconds <= 0) ? "the deadline has passed" : "the connection is closed", null));
			return;
		}
		this.current = exchange;
		exchange.timer = this.channel.eventLoop()
			.schedule(() -> expire(exchange), remainingNanoseconds, TimeUnit.NANOSECONDS);
		this.channel.writeAndFlush(encode(exchange, request)).addListener((written) -> {
			if (!written.isSuccess()) {
				close();
				// Netty fails a write only if some of its bytes were not written to the
				// socket, and a member does not execute an incomplete request.
				finish(exchange, null, unsentFailure("the request could not be written", written.cause()));
			}
		});
	}

	private FullHttpRequest encode(Exchange exchange, MemberRequest request) {
		FullHttpRequest httpRequest = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
				HttpMethod.valueOf(request.method()), request.pathAndQuery(), Unpooled.wrappedBuffer(request.body()));
		HttpHeaders headers = httpRequest.headers();
		headers.set(HttpHeaderNames.HOST, this.address);
		headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
		headers.set(REQUEST_ID_HEADER, exchange.requestId);
		if (request.body().length > 0) {
			headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
		}
		return httpRequest;
	}

	private static MemberResponse parse(Exchange exchange, FullHttpResponse response) {
		if (response.decoderResult().isFailure()) {
			throw new IllegalArgumentException("the response is malformed");
		}
		HttpHeaders headers = response.headers();
		String requestId = headers.get(REQUEST_ID_HEADER);
		if (!exchange.requestId.equals(requestId)) {
			throw new IllegalArgumentException(
					"the response belongs to request %s, expected %s".formatted(requestId, exchange.requestId));
		}
		LogPosition position = new LogPosition(longHeader(headers, POSITION_TERM_HEADER),
				longHeader(headers, POSITION_INDEX_HEADER));
		return new MemberResponse(response.status().code(), longHeader(headers, TERM_HEADER), position,
				headers.get(MEMBER_HEADER, ""), ByteBufUtil.getBytes(response.content()));
	}

	private static long longHeader(HttpHeaders headers, String name) {
		String value = headers.get(name);
		if (value == null) {
			throw new IllegalArgumentException("the response has no header " + name);
		}
		return Long.parseLong(value.trim());
	}

	private void expire(Exchange exchange) {
		if (this.current == exchange) {
			close();
			finish(exchange, null, noResponseFailure("no response before the deadline", null));
		}
	}

	private void finish(Exchange exchange, MemberResponse response, MagnolialeadException failure) {
		if (this.current != exchange) {
			return;
		}
		this.current = null;
		exchange.timer.cancel(false);
		if (failure != null) {
			fail(exchange, failure);
			return;
		}
		this.busy.set(false);
		exchange.response.complete(response);
	}

	private void fail(Exchange exchange, MagnolialeadException failure) {
		this.busy.set(false);
		exchange.response.completeExceptionally(failure);
	}

	private MagnolialeadException unsentFailure(String message, Throwable cause) {
		return new MagnolialeadException(ErrorCode.UNREACHABLE, Step.CONNECT, this.address, message, cause);
	}

	private MagnolialeadException noResponseFailure(String message, Throwable cause) {
		return new MagnolialeadException(ErrorCode.NO_ANSWER, Step.EXECUTE, this.address, message, cause);
	}

	private static final class Exchange {

		private final CompletableFuture<MemberResponse> response = new CompletableFuture<>();

		private final String requestId;

		private Future<?> timer;

		Exchange(String requestId) {
			this.requestId = requestId;
		}

	}

}
