package org.magnolialead.daemon.capacity;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.magnolialead.transport.netty.NettySupport;

/**
 * Stub of a database member that only answers status requests. It answers each request
 * after the requested wait, limited to a fixed maximum. A member without writes answers
 * after the full wait; a short maximum simulates a member that receives writes
 * continuously.
 */
final class StubMember {

	private static final EventLoopGroup LOOPS = NettySupport.eventLoops("responder", 2);

	private static final LongAdder ANSWER_COUNT = new LongAdder();

	private static final int MAXIMUM_BODY_BYTES = 65_536;

	private final Channel listener;

	private final String body;

	private final long maximumWaitMilliseconds;

	StubMember(String group, String member, boolean primary, long maximumWaitMilliseconds) {
		this.body = "{\"group\":\"%s\",\"member\":\"%s\",\"role\":\"%s\",\"term\":1,\"position\":{\"term\":1,\"index\":1}}"
			.formatted(group, member, primary ? "PRIMARY" : "REPLICA");
		this.maximumWaitMilliseconds = maximumWaitMilliseconds;
		this.listener = NettySupport.listen(LOOPS, "127.0.0.1", 0, new ChannelInitializer<SocketChannel>() {

			@Override
			protected void initChannel(SocketChannel channel) {
				channel.pipeline()
					.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAXIMUM_BODY_BYTES), new StatusHandler());
			}

		});
	}

	static long answerCount() {
		return ANSWER_COUNT.sum();
	}

	String address() {
		return "127.0.0.1:" + ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	void close() {
		this.listener.close();
	}

	private final class StatusHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			String requestId = request.headers().get("X-Request-Id");
			String waitMilliseconds = new QueryStringDecoder(request.uri()).parameters()
				.get("wait_milliseconds")
				.get(0);
			long delay = Math.min(Long.parseLong(waitMilliseconds), StubMember.this.maximumWaitMilliseconds);
			context.executor().schedule(() -> answer(context, requestId), delay, TimeUnit.MILLISECONDS);
		}

		private void answer(ChannelHandlerContext context, String requestId) {
			byte[] bytes = StubMember.this.body.getBytes(StandardCharsets.UTF_8);
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
					Unpooled.wrappedBuffer(bytes));
			response.headers()
				.set("X-Request-Id", requestId)
				.set("Magnolialead-Term", 1)
				.set("Magnolialead-Position-Term", 1)
				.set("Magnolialead-Position-Index", 1)
				.setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
			context.writeAndFlush(response);
			ANSWER_COUNT.increment();
		}

	}

}
