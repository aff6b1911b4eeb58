package org.magnolialead.testsupport.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * One accepted connection and its connection to the target.
 */
final class ProxiedConnection {

	private final ProxyRoute route;

	private final Channel client;

	private Channel target;

	private Flow toTarget;

	private Flow toClient;

	private boolean connecting;

	private boolean opened;

	ProxiedConnection(ProxyRoute route, Channel client) {
		this.route = route;
		this.client = client;
	}

	/**
	 * Applies the faults of the route. The target is reached only while both directions
	 * pass bytes, because a TCP handshake needs both.
	 */
	void apply() {
		if (this.opened) {
			this.toTarget.apply(this.route.mode(Direction.TO_TARGET), this.route.delay(Direction.TO_TARGET));
			this.toClient.apply(this.route.mode(Direction.TO_CLIENT), this.route.delay(Direction.TO_CLIENT));
		}
		else if (!this.connecting && this.route.passesHandshake()) {
			connect();
		}
	}

	void reset() {
		Flow.reset(this.client);
		if (this.target != null) {
			Flow.reset(this.target);
		}
	}

	private void connect() {
		this.connecting = true;
		new Bootstrap().group(this.client.eventLoop())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.AUTO_READ, false)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					ProxiedConnection.this.target = channel;
				}

			})
			.connect(this.route.targetHost(), this.route.targetPort())
			.addListener((future) -> connected(future.isSuccess()));
	}

	private void connected(boolean success) {
		this.connecting = false;
		if (!success || !this.client.isOpen()) {
			reset();
			this.route.remove(this);
			return;
		}
		this.toTarget = new Flow(this.client, this.target);
		this.toClient = new Flow(this.target, this.client);
		this.opened = true;
		this.client.pipeline().addLast(new Relay(this.toTarget, this.toClient));
		this.target.pipeline().addLast(new Relay(this.toClient, this.toTarget));
		apply();
	}

	/**
	 * Passes events of one side on to both directions.
	 */
	private final class Relay extends ChannelInboundHandlerAdapter {

		private final Flow outgoing;

		private final Flow incoming;

		Relay(Flow outgoing, Flow incoming) {
			this.outgoing = outgoing;
			this.incoming = incoming;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			this.outgoing.received((ByteBuf) message);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			this.outgoing.closed();
			if (!ProxiedConnection.this.client.isActive() && !ProxiedConnection.this.target.isActive()) {
				ProxiedConnection.this.route.remove(ProxiedConnection.this);
			}
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			this.incoming.destinationWritabilityChanged();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
