package org.magnolialead.ctl.load;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * HTTP client that sends one request at a time on each connection.
 */
final class HttpLoadClient implements AutoCloseable {

	private static final int THREADS = 2;

	private static final int MAXIMUM_BODY_BYTES = 4 << 20;

	private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;

	private final EventLoopGroup eventLoopGroup = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());

	private final Map<String, Pool> pools = new ConcurrentHashMap<>();

	private final List<Channel> idleChannels = new ArrayList<>();

	private final int connectionLimit;

	HttpLoadClient(int connectionLimit) {
		this.connectionLimit = connectionLimit;
	}

	/**
	 * Sends a request.
	 * @param request the request
	 * @param completion receives the response, on an event loop thread or on the calling
	 * thread
	 */
	void send(LoadRequest request, Consumer<LoadResponse> completion) {
		Pool pool = this.pools.computeIfAbsent(request.address(), (address) -> new Pool());
		Exchange exchange = new Exchange(request, completion);
		PooledConnection connection = pool.idle.pollFirst();
		while (connection != null && !connection.channel.isActive()) {
			connection = pool.idle.pollFirst();
		}
		if (connection != null) {
			connection.start(exchange);
		}
		else if (pool.open.incrementAndGet() > this.connectionLimit) {
			pool.open.decrementAndGet();
			exchange.complete(LoadResponse.withoutResponse(LoadResult.NOT_SENT));
		}
		else {
			open(pool, exchange);
		}
	}

	/**
	 * Opens idle connections, and waits until each of them is open or has failed.
	 * @param addresses addresses over which the connections are distributed
	 * @param count number of connections
	 */
	void openIdleConnections(List<String> addresses, int count) {
		List<ChannelFuture> futures = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			futures.add(connect(addresses.get(i % addresses.size()), new ChannelInboundHandlerAdapter()));
		}
		for (ChannelFuture future : futures) {
			if (future.awaitUninterruptibly().isSuccess()) {
				this.idleChannels.add(future.channel());
			}
		}
	}

	int countOpenIdleConnections() {
		return (int) this.idleChannels.stream().filter(Channel::isActive).count();
	}

	@Override
	public void close() {
		this.eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private void open(Pool pool, Exchange exchange) {
		PooledConnection connection = new PooledConnection(pool);
		connect(exchange.request.address(), connection).addListener((future) -> {
			if (future.isSuccess()) {
				connection.start(exchange);
			}
			else {
				pool.open.decrementAndGet();
				exchange.complete(LoadResponse.withoutResponse(LoadResult.NOT_SENT));
			}
		});
	}

	private ChannelFuture connect(String address, ChannelHandler handler) {
		int separator = address.lastIndexOf(':');
		return new Bootstrap().group(this.eventLoopGroup)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
			.handler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(), new HttpObjectAggregator(MAXIMUM_BODY_BYTES), handler);
				}

			})
			.connect(new InetSocketAddress(address.substring(0, separator),
					Integer.parseInt(address.substring(separator + 1))));
	}

	/**
	 * Connections to one address.
	 */
	private static final class Pool {

		private final ConcurrentLinkedDeque<PooledConnection> idle = new ConcurrentLinkedDeque<>();

		private final AtomicInteger open = new AtomicInteger();

	}

	/**
	 * Request in progress.
	 */
	private static final class Exchange {

		private final LoadRequest request;

		private final Consumer<LoadResponse> completion;

		private boolean completed;

		Exchange(LoadRequest request, Consumer<LoadResponse> completion) {
			this.request = request;
			this.completion = completion;
		}

		void complete(LoadResponse response) {
			synchronized (this) {
				if (this.completed) {
					return;
				}
				this.completed = true;
			}
			this.completion.accept(response);
		}

	}

	/**
	 * Connection that carries one request at a time.
	 */
	private static final class PooledConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

		private final Pool pool;

		private volatile Channel channel;

		private Exchange current;

		PooledConnection(Pool pool) {
			this.pool = pool;
		}

		void start(Exchange exchange) {
			this.channel.eventLoop().execute(() -> write(exchange));
		}

		@Override
		public void handlerAdded(ChannelHandlerContext context) {
			this.channel = context.channel();
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
			Exchange exchange = this.current;
			if (exchange == null) {
				context.close();
				return;
			}
			this.current = null;
			Map<String, String> headers = new HashMap<>();
			response.headers()
				.forEach((header) -> headers.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
			LoadResponse loadResponse = LoadResponse.of(response.status().code(), headers,
					ByteBufUtil.getBytes(response.content()));
			if (HttpUtil.isKeepAlive(response)) {
				this.pool.idle.addFirst(this);
			}
			else {
				context.close();
			}
			exchange.complete(loadResponse);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			this.pool.open.decrementAndGet();
			this.pool.idle.remove(this);
			fail();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

		private void write(Exchange exchange) {
			if (!this.channel.isActive()) {
				exchange.complete(LoadResponse.withoutResponse(LoadResult.NOT_SENT));
				return;
			}
			this.current = exchange;
			LoadRequest request = exchange.request;
			FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, request.path(),
					Unpooled.wrappedBuffer(request.body()));
			message.headers().set(HttpHeaderNames.HOST, request.address());
			message.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
			HttpUtil.setContentLength(message, request.body().length);
			request.headers().forEach((name, value) -> message.headers().set(name, value));
			this.channel.writeAndFlush(message);
			this.channel.eventLoop()
				.schedule(() -> expire(exchange), request.deadline() - System.nanoTime(), TimeUnit.NANOSECONDS);
		}

		private void expire(Exchange exchange) {
			if (this.current == exchange) {
				this.channel.close();
			}
		}

		private void fail() {
			Exchange exchange = this.current;
			this.current = null;
			if (exchange != null) {
				exchange.complete(LoadResponse.withoutResponse(LoadResult.UNKNOWN));
			}
		}

	}

}
