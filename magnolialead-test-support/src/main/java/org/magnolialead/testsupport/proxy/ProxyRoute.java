package org.magnolialead.testsupport.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;

/**
 * Route from a listening port to a target. Fault modes are changed on the event loop
 * only.
 */
final class ProxyRoute {

	private final EventLoopGroup group;

	private final InetSocketAddress listen;

	private final InetSocketAddress target;

	private final Map<Direction, FaultMode> modes = new EnumMap<>(Direction.class);

	private final Map<Direction, Long> delaysNanoseconds = new EnumMap<>(Direction.class);

	private final Set<ProxiedConnection> connections = new LinkedHashSet<>();

	private Channel listener;

	private int port;

	ProxyRoute(EventLoopGroup group, InetSocketAddress listen, InetSocketAddress target) {
		this.group = group;
		this.listen = listen;
		this.target = target;
		for (Direction direction : Direction.values()) {
			this.modes.put(direction, FaultMode.CONTINUE);
			this.delaysNanoseconds.put(direction, 0L);
		}
	}

	/**
	 * Starts listening and blocks until the port is bound. Must not be called on the
	 * event loop.
	 */
	void startListening() {
		this.listener = bind(this.listen.getPort()).syncUninterruptibly().channel();
		this.port = ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	int port() {
		return this.port;
	}

	String targetHost() {
		return this.target.getHostString();
	}

	int targetPort() {
		return this.target.getPort();
	}

	FaultMode mode(Direction direction) {
		return this.modes.get(direction);
	}

	long delayNanoseconds(Direction direction) {
		return this.delaysNanoseconds.get(direction);
	}

	boolean allowsHandshake() {
		return this.modes.values().stream().noneMatch((mode) -> mode == FaultMode.CUT || mode == FaultMode.HOLD);
	}

	void change(Direction direction, FaultMode mode, long delayMilliseconds) {
		this.modes.put(direction, mode);
		this.delaysNanoseconds.put(direction,
				(mode == FaultMode.DELAY) ? TimeUnit.MILLISECONDS.toNanos(delayMilliseconds) : 0L);
		List.copyOf(this.connections).forEach(ProxiedConnection::applyFaults);
	}

	/**
	 * Closes or reopens the listening port; established connections stay open.
	 * @param refuse whether to refuse new connections
	 * @return future of the change
	 */
	ChannelFuture refuseConnections(boolean refuse) {
		if (refuse) {
			return this.listener.close();
		}
		if (this.listener.isOpen()) {
			return this.listener.newSucceededFuture();
		}
		ChannelFuture binding = bind(this.port);
		this.listener = binding.channel();
		return binding;
	}

	/**
	 * Returns whether the operating system still accepts connections on the port. The
	 * socket of a closed channel stays open until the next select operation of the event
	 * loop.
	 * @return {@code true} if a connection is accepted
	 */
	boolean acceptsConnections() {
		try (Socket socket = new Socket(this.listen.getAddress(), this.port)) {
			return socket.isConnected();
		}
		catch (IOException ex) {
			return false;
		}
	}

	void reset() {
		List.copyOf(this.connections).forEach(ProxiedConnection::reset);
		this.connections.clear();
	}

	void remove(ProxiedConnection connection) {
		this.connections.remove(connection);
	}

	private ChannelFuture bind(int bindPort) {
		return new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.AUTO_READ, false)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					ProxiedConnection connection = new ProxiedConnection(ProxyRoute.this, channel);
					ProxyRoute.this.connections.add(connection);
					connection.applyFaults();
				}

			})
			.bind(this.listen.getHostString(), bindPort);
	}

}
