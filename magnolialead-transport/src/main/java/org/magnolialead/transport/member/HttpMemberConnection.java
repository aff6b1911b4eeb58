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

	/** The exchange in progress; belongs to the event loop. */
	private Exchange current;

	HttpMemberConnection(String address, MonotonicClock clock, Supplier<String> requestIds) {
		this.address = address;
		this.clock = clock;
		this.requestIds = requestIds;
	}

	@Override
	public CompletableFuture<MemberResponse> exchange(MemberRequest call, long deadline) {
		Objects.requireNonNull(call, "call must not be null");
		if (!this.busy.compareAndSet(false, true)) {
			throw new IllegalStateException("another exchange with " + this.address + " is in progress");
		}
		Exchange exchange = new Exchange(this.requestIds.get());
		try {
			this.channel.eventLoop().execute(() -> start(exchange, call, deadline));
		}
		catch (RejectedExecutionException ex) {
			fail(exchange, neverSent("the connector is closed", ex));
		}
		return exchange.reply;
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
		MemberResponse reply;
		try {
			reply = read(exchange, response);
		}
		catch (IllegalArgumentException ex) {
			close();
			finish(exchange, null, noAnswer(ex.getMessage(), ex));
			return;
		}
		if (!HttpUtil.isKeepAlive(response)) {
			close();
		}
		finish(exchange, reply, null);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.usable = false;
		if (this.current != null) {
			finish(this.current, null, noAnswer("the connection was closed before the answer", null));
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		close();
		if (this.current != null) {
			finish(this.current, null, noAnswer("the answer could not be read", cause));
		}
	}

	private void start(Exchange exchange, MemberRequest call, long deadline) {
		long left = deadline - this.clock.nanoseconds();
		if (!isOpen() || left <= 0) {
			close();
			fail(exchange, neverSent((left <= 0) ? "the deadline has passed" : "the connection is closed", null));
			return;
		}
		this.current = exchange;
		exchange.timer = this.channel.eventLoop().schedule(() -> expire(exchange), left, TimeUnit.NANOSECONDS);
		this.channel.writeAndFlush(request(exchange, call)).addListener((written) -> {
			if (!written.isSuccess()) {
				close();
				// Netty fails a write only if not all of its bytes reached the socket,
				// and a member does not execute an incomplete request.
				finish(exchange, null, neverSent("the request could not be written", written.cause()));
			}
		});
	}

	private FullHttpRequest request(Exchange exchange, MemberRequest call) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method()),
				call.pathAndQuery(), Unpooled.wrappedBuffer(call.body()));
		HttpHeaders headers = request.headers();
		headers.set(HttpHeaderNames.HOST, this.address);
		headers.set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
		headers.set(REQUEST_ID_HEADER, exchange.requestId);
		if (call.body().length > 0) {
			headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
		}
		return request;
	}

	private static MemberResponse read(Exchange exchange, FullHttpResponse response) {
		if (response.decoderResult().isFailure()) {
			throw new IllegalArgumentException("the answer is malformed");
		}
		HttpHeaders headers = response.headers();
		String requestId = headers.get(REQUEST_ID_HEADER);
		if (!exchange.requestId.equals(requestId)) {
			throw new IllegalArgumentException(
					"the answer belongs to request %s, expected %s".formatted(requestId, exchange.requestId));
		}
		LogPosition position = new LogPosition(number(headers, POSITION_TERM_HEADER),
				number(headers, POSITION_INDEX_HEADER));
		return new MemberResponse(response.status().code(), number(headers, TERM_HEADER), position,
				headers.get(MEMBER_HEADER, ""), ByteBufUtil.getBytes(response.content()));
	}

	private static long number(HttpHeaders headers, String name) {
		String value = headers.get(name);
		if (value == null) {
			throw new IllegalArgumentException("the answer has no header " + name);
		}
		return Long.parseLong(value.trim());
	}

	private void expire(Exchange exchange) {
		if (this.current == exchange) {
			close();
			finish(exchange, null, noAnswer("no answer before the deadline", null));
		}
	}

	private void finish(Exchange exchange, MemberResponse reply, MagnolialeadException failure) {
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
		exchange.reply.complete(reply);
	}

	private void fail(Exchange exchange, MagnolialeadException failure) {
		this.busy.set(false);
		exchange.reply.completeExceptionally(failure);
	}

	private MagnolialeadException neverSent(String message, Throwable cause) {
		return new MagnolialeadException(ErrorCode.UNREACHABLE, Step.CONNECT, this.address, message, cause);
	}

	private MagnolialeadException noAnswer(String message, Throwable cause) {
		return new MagnolialeadException(ErrorCode.NO_ANSWER, Step.EXECUTE, this.address, message, cause);
	}

	private static final class Exchange {

		private final CompletableFuture<MemberResponse> reply = new CompletableFuture<>();

		private final String requestId;

		private Future<?> timer;

		Exchange(String requestId) {
			this.requestId = requestId;
		}

	}

}
