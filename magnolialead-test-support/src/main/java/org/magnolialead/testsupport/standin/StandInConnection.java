package org.magnolialead.testsupport.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * Connection to the stand-in with the transaction that is open on it.
 */
final class StandInConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

	private static final String REQUEST_ID = "X-Request-Id";

	private final DatabaseStandIn standIn;

	private ChannelHandlerContext context;

	private List<Statement> transaction;

	private boolean countsTowardsLimit;

	private boolean exceedsLimit;

	private boolean firstRequestReceived;

	private long openedAt;

	StandInConnection(DatabaseStandIn standIn) {
		this.standIn = standIn;
	}

	/**
	 * Returns the buffered statements of the open transaction.
	 * @return the statements, or {@code null} if no transaction is open
	 */
	List<Statement> transaction() {
		return this.transaction;
	}

	void beginTransaction() {
		this.transaction = new ArrayList<>();
	}

	void endTransaction() {
		this.transaction = null;
	}

	boolean isOpen() {
		return this.context != null && this.context.channel().isActive();
	}

	void close() {
		this.context.close();
	}

	@Override
	public void channelActive(ChannelHandlerContext activeContext) {
		this.context = activeContext;
		this.openedAt = System.nanoTime();
		this.countsTowardsLimit = this.standIn.connectionOpened(this);
		this.exceedsLimit = !this.countsTowardsLimit;
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactiveContext) {
		endTransaction();
		this.standIn.connectionClosed(this, this.countsTowardsLimit);
		this.countsTowardsLimit = false;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext readContext, FullHttpRequest message) {
		StandInRequest request = decode(message);
		if (request == null) {
			close();
			return;
		}
		if (request.isExemptFromConnectionLimit()) {
			excludeFromLimit();
			this.standIn.handle(request);
			return;
		}
		if (this.exceedsLimit) {
			this.standIn.refuseConnection(request);
			return;
		}
		long waitNanoseconds = this.firstRequestReceived ? 0
				: this.standIn.remainingConnectionCostNanoseconds(this.openedAt);
		this.firstRequestReceived = true;
		if (waitNanoseconds <= 0) {
			this.standIn.handle(request);
		}
		else {
			readContext.executor().schedule(() -> this.standIn.handle(request), waitNanoseconds, TimeUnit.NANOSECONDS);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext failedContext, Throwable cause) {
		failedContext.close();
	}

	void send(StandInRequest request, EncodedResponse response) {
		if (!isOpen()) {
			return;
		}
		ByteBuf content = Unpooled.wrappedBuffer(response.body());
		FullHttpResponse httpResponse = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, response.status(), content);
		httpResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
		HttpUtil.setContentLength(httpResponse, response.body().length);
		if (!response.requestId().isEmpty()) {
			httpResponse.headers().set(REQUEST_ID, response.requestId());
		}
		httpResponse.headers().set("Magnolialead-Term", response.term());
		httpResponse.headers().set("Magnolialead-Position-Term", response.position().term());
		httpResponse.headers().set("Magnolialead-Position-Index", response.position().index());
		httpResponse.headers().set("Magnolialead-Member", response.member());
		if (request.keepAlive() && !this.exceedsLimit) {
			this.context.writeAndFlush(httpResponse);
			return;
		}
		httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		this.context.writeAndFlush(httpResponse).addListener(ChannelFutureListener.CLOSE);
	}

	private void excludeFromLimit() {
		if (this.countsTowardsLimit) {
			this.standIn.excludeFromConnectionLimit();
		}
		this.countsTowardsLimit = false;
		this.exceedsLimit = false;
	}

	private StandInRequest decode(FullHttpRequest message) {
		if (message.decoderResult().isFailure()) {
			return null;
		}
		String requestId = message.headers().get(REQUEST_ID, "");
		try {
			return new StandInRequest(this, requestId, message.method().name(), new QueryStringDecoder(message.uri()),
					decodeBody(message.content()), HttpUtil.isKeepAlive(message));
		}
		catch (IOException ex) {
			return new StandInRequest(this, requestId, message.method().name(), new QueryStringDecoder("/malformed"),
					MissingNode.getInstance(), HttpUtil.isKeepAlive(message));
		}
	}

	private JsonNode decodeBody(ByteBuf content) throws IOException {
		if (!content.isReadable()) {
			return MissingNode.getInstance();
		}
		return DatabaseStandIn.JSON.readTree(new ByteBufInputStream(content));
	}

}
