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
 * Accepted client connection with its connection to the target.
 */
final class ProxiedConnection {

	private final ProxyRoute route;

	private final Channel client;

	private Channel target;

	private Flow toTarget;

	private Flow toClient;

	private boolean connecting;

	private boolean targetConnected;

	ProxiedConnection(ProxyRoute route, Channel client) {
		this.route = route;
		this.client = client;
	}

	/**
	 * Applies the fault modes of the route. The proxy connects to the target only while
	 * neither direction is cut or held, because a TCP handshake needs both.
	 */
	void applyFaults() {
		if (this.targetConnected) {
			this.toTarget.applyFault(this.route.mode(Direction.TO_TARGET),
					this.route.delayNanoseconds(Direction.TO_TARGET));
			this.toClient.applyFault(this.route.mode(Direction.TO_CLIENT),
					this.route.delayNanoseconds(Direction.TO_CLIENT));
		}
		else if (!this.connecting && this.route.allowsHandshake()) {
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
			.addListener((future) -> handleConnectResult(future.isSuccess()));
	}

	private void handleConnectResult(boolean success) {
		this.connecting = false;
		if (!success || !this.client.isOpen()) {
			reset();
			this.route.remove(this);
			return;
		}
		this.toTarget = new Flow(this.client, this.target);
		this.toClient = new Flow(this.target, this.client);
		this.targetConnected = true;
		this.client.pipeline().addLast(new Relay(this.toTarget, this.toClient));
		this.target.pipeline().addLast(new Relay(this.toClient, this.toTarget));
		applyFaults();
	}

	/**
	 * Forwards the channel events of one side to the flows of both directions.
	 */
	private final class Relay extends ChannelInboundHandlerAdapter {

		private final Flow outbound;

		private final Flow inbound;

		Relay(Flow outbound, Flow inbound) {
			this.outbound = outbound;
			this.inbound = inbound;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			this.outbound.handleBytes((ByteBuf) message);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			this.outbound.handleSourceClosed();
			if (!ProxiedConnection.this.client.isActive() && !ProxiedConnection.this.target.isActive()) {
				ProxiedConnection.this.route.remove(ProxiedConnection.this);
			}
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			this.inbound.destinationWritabilityChanged();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
