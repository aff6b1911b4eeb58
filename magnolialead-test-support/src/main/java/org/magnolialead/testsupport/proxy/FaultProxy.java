package org.magnolialead.testsupport.proxy;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;

/**
 * TCP proxy with several routes on which tests can drop, hold or delay bytes in each
 * direction at run time. Faults are applied on a single event loop thread.
 */
public final class FaultProxy implements AutoCloseable {

	private static final int MAXIMUM_BODY_BYTES = 1 << 16;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop eventLoop = this.group.next();

	private final Map<String, ProxyRoute> routes = new ConcurrentHashMap<>();

	/**
	 * Adds a route without faults and starts listening. Must not be called on the event
	 * loop.
	 * @param name name of the route
	 * @param listen address to listen on; port 0 selects a free port
	 * @param target address of the target
	 * @return the listening port
	 * @throws IllegalArgumentException if a route of this name exists
	 */
	public int addRoute(String name, InetSocketAddress listen, InetSocketAddress target) {
		ProxyRoute route = new ProxyRoute(this.group, listen, target);
		if (this.routes.putIfAbsent(name, route) != null) {
			throw new IllegalArgumentException("route \"" + name + "\" already exists");
		}
		route.startListening();
		return route.port();
	}

	/**
	 * Changes the fault mode of one direction for open and new connections.
	 * @param name name of the route
	 * @param direction the direction
	 * @param mode the fault mode
	 * @param delayMilliseconds delay in milliseconds for {@link FaultMode#DELAY}
	 * @throws IllegalArgumentException if the route is unknown
	 */
	public void change(String name, Direction direction, FaultMode mode, long delayMilliseconds) {
		ProxyRoute route = route(name);
		runOnEventLoop(() -> route.change(direction, mode, delayMilliseconds));
	}

	/**
	 * Changes the fault mode of both directions for open and new connections.
	 * @param name name of the route
	 * @param mode the fault mode
	 * @param delayMilliseconds delay in milliseconds for {@link FaultMode#DELAY}
	 * @throws IllegalArgumentException if the route is unknown
	 */
	public void change(String name, FaultMode mode, long delayMilliseconds) {
		for (Direction direction : Direction.values()) {
			change(name, direction, mode, delayMilliseconds);
		}
	}

	/**
	 * Refuses new connections of a route or accepts them again. Open connections are not
	 * affected.
	 * @param name name of the route
	 * @param refuse whether to refuse new connections
	 * @throws IllegalArgumentException if the route is unknown
	 */
	public void refuseConnections(String name, boolean refuse) {
		ProxyRoute route = route(name);
		if (this.eventLoop.inEventLoop()) {
			route.refuseConnections(refuse);
			return;
		}
		this.eventLoop.submit(() -> route.refuseConnections(refuse))
			.syncUninterruptibly()
			.getNow()
			.syncUninterruptibly();
		while (refuse && route.acceptsConnections()) {
			Thread.onSpinWait();
		}
	}

	/**
	 * Resets all open connections of a route.
	 * @param name name of the route
	 * @throws IllegalArgumentException if the route is unknown
	 */
	public void reset(String name) {
		ProxyRoute route = route(name);
		runOnEventLoop(route::reset);
	}

	/**
	 * Starts the HTTP server for control requests.
	 * @param listen address to listen on; port 0 selects a free port
	 * @return the listening port
	 */
	public int startControlServer(InetSocketAddress listen) {
		Channel channel = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.childHandler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel child) {
					child.pipeline()
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAXIMUM_BODY_BYTES),
								new ProxyControlHandler(FaultProxy.this));
				}

			})
			.bind(listen)
			.syncUninterruptibly()
			.channel();
		return ((InetSocketAddress) channel.localAddress()).getPort();
	}

	/**
	 * Closes all routes and connections.
	 */
	@Override
	public void close() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private ProxyRoute route(String name) {
		ProxyRoute route = this.routes.get(name);
		if (route == null) {
			throw new IllegalArgumentException("unknown route \"" + name + "\"");
		}
		return route;
	}

	private void runOnEventLoop(Runnable change) {
		if (this.eventLoop.inEventLoop()) {
			change.run();
			return;
		}
		this.eventLoop.submit(change).syncUninterruptibly();
	}

}
