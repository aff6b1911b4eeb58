package org.magnolialead.transport.relay;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.ByteToMessageDecoder;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.transport.netty.NettySupport;
import org.magnolialead.transport.peer.PeerServer;

/**
 * Listener for connections of other daemons, which either send peer messages or ask for a
 * relay to a member. The first bytes of a connection tell which of the two it is.
 */
public final class PeerPort implements AutoCloseable {

	private static final System.Logger LOGGER = System.getLogger(PeerPort.class.getName());

	/**
	 * Time after which a connection that has sent too few bytes to be recognised is
	 * closed.
	 */
	private static final int FIRST_BYTES_TIMEOUT_MILLISECONDS = 1_000;

	/** Both protocols begin with a length field. */
	private static final int LENGTH_BYTES = Integer.BYTES;

	private final RelayServer relayServer;

	private final PeerServer peerServer;

	private final Channel listener;

	/**
	 * Starts listening.
	 * @param eventLoops event loops for the accepted connections
	 * @param host local address
	 * @param port local port, or 0 for any free port
	 * @param relayServer serves connections that ask for a relay
	 * @param peerServer serves connections that send peer messages
	 */
	public PeerPort(EventLoopGroup eventLoops, String host, int port, RelayServer relayServer, PeerServer peerServer) {
		this.relayServer = Objects.requireNonNull(relayServer, "relayServer must not be null");
		this.peerServer = Objects.requireNonNull(peerServer, "peerServer must not be null");
		this.listener = NettySupport.listen(eventLoops, host, port, new ChannelInitializer<Channel>() {

			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline().addLast(new ProtocolDetector());
			}

		});
	}

	/**
	 * Returns the port on which this listener accepts connections.
	 * @return the local port
	 */
	public int port() {
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	@Override
	public void close() {
		this.listener.close();
	}

	private final class ProtocolDetector extends ByteToMessageDecoder {

		@Override
		public void channelActive(ChannelHandlerContext context) {
			context.executor().schedule(() -> {
				if (!context.isRemoved()) {
					context.close();
				}
			}, FIRST_BYTES_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
		}

		@Override
		protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) {
			if (input.readableBytes() <= LENGTH_BYTES) {
				return;
			}
			// A relay request is a MessagePack map, whose first byte is negative. The
			// code of a peer message is not.
			boolean relayRequest = input.getByte(input.readerIndex() + LENGTH_BYTES) < 0;
			if (relayRequest) {
				PeerPort.this.relayServer.addTo(context.pipeline());
			}
			else {
				PeerPort.this.peerServer.addTo(context.pipeline());
			}
			context.pipeline().remove(this);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			NettySupport.logUnlessConnectionLost(LogEvent.PEER_CONNECTION_DAMAGED, LOGGER, cause,
					context.channel().remoteAddress());
			context.close();
		}

	}

}
