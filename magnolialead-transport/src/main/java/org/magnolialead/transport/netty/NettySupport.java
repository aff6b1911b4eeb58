package org.magnolialead.transport.netty;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import org.magnolialead.api.log.LogEvent;

/**
 * Creates event loops, listeners and connections with the options that all sockets share.
 */
public final class NettySupport {

	private static final int ACCEPT_BACKLOG = 4_096;

	private static final int ARENAS_PER_MEMORY_TYPE = 2;

	private static final int PAGE_BYTES = 8_192;

	/**
	 * Binary logarithm of the number of pages per chunk. Chunks of 512 KiB instead of
	 * Netty's default of 4 MiB reduce the memory use of an idle daemon.
	 */
	private static final int CHUNK_ORDER = 6;

	private static final int MINIMUM_RECEIVE_BUFFER_BYTES = 512;

	private static final int INITIAL_RECEIVE_BUFFER_BYTES = 1_024;

	private static final int MAXIMUM_RECEIVE_BUFFER_BYTES = 65_536;

	private static final ByteBufAllocator ALLOCATOR;

	static {
		// By default, Netty would log through SLF4J, which is on the class path as a
		// dependency of Dropwizard Metrics but has no provider, so messages would be
		// lost.
		InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
		ALLOCATOR = new PooledByteBufAllocator(true, ARENAS_PER_MEMORY_TYPE, ARENAS_PER_MEMORY_TYPE, PAGE_BYTES,
				CHUNK_ORDER, PooledByteBufAllocator.defaultSmallCacheSize(),
				PooledByteBufAllocator.defaultNormalCacheSize(), false);
	}

	private NettySupport() {
	}

	/**
	 * Creates event loops with daemon threads.
	 * @param threadNamePrefix prefix of the thread names
	 * @param threads number of threads
	 * @return the event loop group
	 */
	public static EventLoopGroup eventLoops(String threadNamePrefix, int threads) {
		return new MultiThreadIoEventLoopGroup(threads, new DefaultThreadFactory(threadNamePrefix, true),
				NioIoHandler.newFactory());
	}

	/**
	 * Binds a listening socket and waits until it is bound.
	 * @param eventLoops event loops for the listener and its connections
	 * @param host local address
	 * @param port local port, or 0 for any free port
	 * @param initializer handler that initializes each accepted connection
	 * @return the listening channel
	 */
	public static Channel listen(EventLoopGroup eventLoops, String host, int port, ChannelHandler initializer) {
		ChannelFuture bound = new ServerBootstrap().group(eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.option(ChannelOption.ALLOCATOR, ALLOCATOR)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childOption(ChannelOption.ALLOCATOR, ALLOCATOR)
			.childOption(ChannelOption.RECVBUF_ALLOCATOR, receiveBufferAllocator())
			.childHandler(initializer)
			.bind(new InetSocketAddress(host, port));
		return bound.syncUninterruptibly().channel();
	}

	/**
	 * Opens a connection without waiting for it.
	 * @param eventLoops event loops for the connection
	 * @param address remote address in the form {@code host:port}
	 * @param timeoutMilliseconds connect timeout in milliseconds
	 * @param initializer handler that initializes the connection
	 * @return the future of the connection
	 * @throws IllegalArgumentException if the address is malformed
	 */
	public static ChannelFuture connect(EventLoopGroup eventLoops, String address, int timeoutMilliseconds,
			ChannelHandler initializer) {
		return new Bootstrap().group(eventLoops)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMilliseconds)
			.option(ChannelOption.ALLOCATOR, ALLOCATOR)
			.option(ChannelOption.RECVBUF_ALLOCATOR, receiveBufferAllocator())
			.handler(initializer)
			.connect(parseAddress(address));
	}

	/**
	 * Logs an error on a connection, unless it is an {@link IOException}. An
	 * {@code IOException} means that the connection was lost, which the caller that waits
	 * for a response handles.
	 * @param event event to log
	 * @param logger logger of the reporting class
	 * @param cause the error
	 * @param arguments arguments of the format of the event, in order
	 */
	public static void logUnlessConnectionLost(LogEvent event, System.Logger logger, Throwable cause,
			Object... arguments) {
		if (!(cause instanceof IOException)) {
			event.log(logger, cause, arguments);
		}
	}

	/**
	 * Shuts down event loops within 1 second and closes their connections. Does not wait
	 * for the end of the shutdown.
	 * @param eventLoops the event loops
	 */
	public static void shutDown(EventLoopGroup eventLoops) {
		eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/**
	 * Parses an address.
	 * @param address the address in the form {@code host:port}
	 * @return the socket address
	 * @throws IllegalArgumentException if the address is malformed
	 */
	public static InetSocketAddress parseAddress(String address) {
		int colon = address.lastIndexOf(':');
		if (colon <= 0) {
			throw new IllegalArgumentException("address must have the form host:port, found \"" + address + "\"");
		}
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

	private static AdaptiveRecvByteBufAllocator receiveBufferAllocator() {
		return new AdaptiveRecvByteBufAllocator(MINIMUM_RECEIVE_BUFFER_BYTES, INITIAL_RECEIVE_BUFFER_BYTES,
				MAXIMUM_RECEIVE_BUFFER_BYTES);
	}

}
