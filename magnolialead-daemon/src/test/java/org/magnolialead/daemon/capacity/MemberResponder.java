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
 * Database member that only answers status requests, each after the shorter of the wait
 * that it asks for and a fixed time. Without writes a member answers after the whole
 * wait; a short fixed time stands for a member that receives writes without a break.
 */
final class MemberResponder {

	private static final EventLoopGroup LOOPS = NettySupport.eventLoops("responder", 2);

	private static final LongAdder ANSWERS = new LongAdder();

	private static final int MAXIMUM_BODY_BYTES = 65_536;

	private final Channel listener;

	private final String body;

	private final long longestWait;

	MemberResponder(String group, String member, boolean primary, long longestWait) {
		this.body = "{\"group\":\"%s\",\"member\":\"%s\",\"role\":\"%s\",\"term\":1,\"position\":{\"term\":1,\"index\":1}}"
			.formatted(group, member, primary ? "PRIMARY" : "REPLICA");
		this.longestWait = longestWait;
		this.listener = NettySupport.listen(LOOPS, "127.0.0.1", 0, new ChannelInitializer<SocketChannel>() {

			@Override
			protected void initChannel(SocketChannel channel) {
				channel.pipeline()
					.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAXIMUM_BODY_BYTES), new Handler());
			}

		});
	}

	static long answers() {
		return ANSWERS.sum();
	}

	String address() {
		return "127.0.0.1:" + ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	void close() {
		this.listener.close();
	}

	private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			String identifier = request.headers().get("X-Request-Id");
			String wait = new QueryStringDecoder(request.uri()).parameters().get("wait_milliseconds").get(0);
			long delay = Math.min(Long.parseLong(wait), MemberResponder.this.longestWait);
			context.executor().schedule(() -> answer(context, identifier), delay, TimeUnit.MILLISECONDS);
		}

		private void answer(ChannelHandlerContext context, String identifier) {
			byte[] bytes = MemberResponder.this.body.getBytes(StandardCharsets.UTF_8);
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
					Unpooled.wrappedBuffer(bytes));
			response.headers()
				.set("X-Request-Id", identifier)
				.set("Magnolialead-Term", 1)
				.set("Magnolialead-Position-Term", 1)
				.set("Magnolialead-Position-Index", 1)
				.setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
			context.writeAndFlush(response);
			ANSWERS.increment();
		}

	}

}
