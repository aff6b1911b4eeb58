package org.magnolialead.transport.relay;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.message.ViewQuery;
import org.magnolialead.transport.netty.NettySupport;
import org.magnolialead.transport.peer.PeerClient;
import org.magnolialead.transport.peer.PeerConnectionSettings;
import org.magnolialead.transport.peer.PeerServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RelayServer} and {@link RelayHandshake} over real sockets. The member
 * echoes all bytes.
 */
class RelayServerTests {

	private static final String HOST = "127.0.0.1";

	private static final int SOCKET_TIMEOUT_MILLISECONDS = 10_000;

	private final EventLoopGroup eventLoops = NettySupport.eventLoops("relay", 1);

	private ServerSocket member;

	private PeerPort relay;

	@BeforeEach
	void start() throws IOException {
		this.member = new ServerSocket(0, 0, InetAddress.getByName(HOST));
		Thread echo = new Thread(this::echo);
		echo.setDaemon(true);
		echo.start();
		this.relay = listen(this::address);
	}

	@AfterEach
	void stop() throws IOException {
		this.relay.close();
		this.member.close();
		NettySupport.shutDown(this.eventLoops);
	}

	private PeerPort listen(Function<RelayRequest, Optional<String>> addressLookup) {
		PeerServer peers = new PeerServer(() -> (message) -> CompletableFuture.completedFuture(message), Runnable::run);
		return new PeerPort(this.eventLoops, HOST, 0, new RelayServer(this.eventLoops, addressLookup), peers);
	}

	private Optional<String> address(RelayRequest request) {
		return switch (request.member()) {
			case "reached" -> Optional.of(HOST + ":" + this.member.getLocalPort());
			case "closed" -> Optional.of(HOST + ":1");
			default -> Optional.empty();
		};
	}

	private int port() {
		return this.relay.port();
	}

	private void echo() {
		while (!this.member.isClosed()) {
			try (Socket socket = this.member.accept()) {
				socket.getInputStream().transferTo(socket.getOutputStream());
			}
			catch (IOException ex) {
				// The member or its caller is closed at the end of each test.
				continue;
			}
		}
	}

	/**
	 * Guards against bytes that are lost or reordered between the endpoints, and against
	 * an endpoint that sends data before the member is connected.
	 */
	@Test
	void bytesAreForwardedInBothDirections() {
		CompletableFuture<String> answer = connect("reached", "CONNECT group\r\n");
		assertThat(answer.orTimeout(10, TimeUnit.SECONDS).join()).isEqualTo("CONNECT group\r\n");
	}

	/**
	 * Guards against a caller that keeps waiting for a relay that cannot connect to the
	 * member.
	 */
	@Test
	void requestForUnreachableMemberIsRejected() {
		assertThat(connect("unknown", "").orTimeout(10, TimeUnit.SECONDS).join()).isEqualTo("refused");
		assertThat(connect("closed", "").orTimeout(10, TimeUnit.SECONDS).join()).isEqualTo("refused");
	}

	/**
	 * Guards against a relay that stops working after a caller has sent malformed input.
	 */
	@Test
	void malformedInputClosesItsConnectionOnly() throws IOException {
		try (Socket socket = new Socket(HOST, port())) {
			socket.setSoTimeout(SOCKET_TIMEOUT_MILLISECONDS);
			DataOutputStream output = new DataOutputStream(socket.getOutputStream());
			output.writeInt(Integer.MAX_VALUE);
			output.flush();
			assertThat(new DataInputStream(socket.getInputStream()).read()).isEqualTo(-1);
		}
		bytesAreForwardedInBothDirections();
	}

	/**
	 * Guards against connections to members that stay open after their caller has
	 * disconnected.
	 */
	@Test
	void disconnectOfCallerClosesMemberConnection() throws IOException, InterruptedException {
		CountDownLatch ended = new CountDownLatch(1);
		try (ServerSocket watched = new ServerSocket(0, 0, InetAddress.getByName(HOST))) {
			PeerPort server = listen((request) -> Optional.of(HOST + ":" + watched.getLocalPort()));
			Thread reader = new Thread(() -> {
				try (Socket accepted = watched.accept()) {
					while (accepted.getInputStream().read() >= 0) {
						continue;
					}
				}
				catch (IOException ex) {
					ended.countDown();
					return;
				}
				ended.countDown();
			});
			reader.setDaemon(true);
			reader.start();
			try (Socket socket = new Socket(HOST, server.port())) {
				ByteBuf request = RelayCodec.encode(new RelayRequest("group", "reached"));
				request.readBytes(socket.getOutputStream(), request.readableBytes());
				assertThat(new DataInputStream(socket.getInputStream()).readInt()).isPositive();
			}
			assertThat(ended.await(10, TimeUnit.SECONDS)).isTrue();
			server.close();
		}
	}

	/**
	 * Guards against a peer message that is taken for a relay request on the port that
	 * both protocols share.
	 */
	@Test
	void peerMessagesAreAnsweredOnTheSamePort() {
		try (PeerClient client = new PeerClient(MonotonicClock.SYSTEM, this.eventLoops,
				PeerConnectionSettings.STATEMENTS)) {
			ViewQuery query = new ViewQuery();
			long deadline = MonotonicClock.SYSTEM.nanoseconds() + TimeUnit.SECONDS.toNanos(10);
			assertThat(client.request(HOST + ":" + port(), query, deadline).join()).isEqualTo(query);
		}
		bytesAreForwardedInBothDirections();
	}

	private CompletableFuture<String> connect(String name, String text) {
		CompletableFuture<String> answer = new CompletableFuture<>();
		NettySupport.connect(this.eventLoops, HOST + ":" + port(), SOCKET_TIMEOUT_MILLISECONDS,
				new ChannelInitializer<Channel>() {

					@Override
					protected void initChannel(Channel channel) {
						RelayHandshake.addTo(channel.pipeline(), new RelayRequest("group", name),
								() -> answer.complete("refused"));
						channel.pipeline().addLast(new Endpoint(text, answer));
					}

				});
		return answer;
	}

	private static final class Endpoint extends SimpleChannelInboundHandler<ByteBuf> {

		private final String text;

		private final CompletableFuture<String> answer;

		private final StringBuilder received = new StringBuilder();

		Endpoint(String text, CompletableFuture<String> answer) {
			this.text = text;
			this.answer = answer;
		}

		@Override
		public void channelActive(ChannelHandlerContext context) {
			context.writeAndFlush(Unpooled.copiedBuffer(this.text, StandardCharsets.ISO_8859_1));
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
			this.received.append(bytes.toString(StandardCharsets.ISO_8859_1));
			if (this.received.length() == this.text.length()) {
				this.answer.complete(this.received.toString());
				context.close();
			}
		}

	}

}
