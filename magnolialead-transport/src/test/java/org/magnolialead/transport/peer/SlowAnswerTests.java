package org.magnolialead.transport.peer;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.message.InitializeAnswer;
import org.magnolialead.api.message.ViewQuery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests of answers that take long to arrive over a slow link.
 */
class SlowAnswerTests {

	private static final int PIECES = 30;

	private static final long PAUSE_MILLISECONDS = 60;

	private static final InitializeAnswer ANSWER = new InitializeAnswer(true, "x".repeat(10_000));

	private final ExecutorService executor = Executors.newSingleThreadExecutor();

	private final PeerClient client = new PeerClient(MonotonicClock.SYSTEM);

	@AfterEach
	void close() {
		this.client.close();
		this.executor.shutdownNow();
	}

	/**
	 * Guards against a large change of the fleet view that never arrives at a daemon
	 * behind a slow link, because each answer is given up while it arrives.
	 */
	@Test
	void answerThatIsArrivingIsAwaited() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			this.executor.execute(() -> answerSlowly(server, PIECES));
			assertThat(request(server, 10_000).get(20, TimeUnit.SECONDS)).isEqualTo(ANSWER);
		}
	}

	/**
	 * Guards against a request that is never given up because the peer has stopped within
	 * its answer.
	 */
	@Test
	void answerThatStopsArrivingIsGivenUp() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			this.executor.execute(() -> answerSlowly(server, PIECES / 2));
			assertNotAnswered(request(server, 60_000));
		}
	}

	/**
	 * Guards against an answer that is awaited without a limit.
	 */
	@Test
	void answerThatArrivesTooSlowlyIsGivenUp() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			this.executor.execute(() -> answerSlowly(server, PIECES));
			assertNotAnswered(request(server, 500));
		}
	}

	private CompletableFuture<Object> request(ServerSocket server, long receiveMilliseconds) {
		long now = MonotonicClock.SYSTEM.nanoseconds();
		return this.client.request("127.0.0.1:" + server.getLocalPort(), new ViewQuery(),
				now + TimeUnit.MILLISECONDS.toNanos(350), now + TimeUnit.MILLISECONDS.toNanos(receiveMilliseconds));
	}

	private static void assertNotAnswered(CompletableFuture<Object> answer) {
		assertThatThrownBy(() -> answer.get(20, TimeUnit.SECONDS)).hasCauseInstanceOf(MagnolialeadException.class)
			.satisfies((failure) -> assertThat(((MagnolialeadException) failure.getCause()).code())
				.isEqualTo(ErrorCode.NO_ANSWER));
	}

	private static void answerSlowly(ServerSocket server, int pieces) {
		try (Socket socket = server.accept()) {
			DataInputStream input = new DataInputStream(socket.getInputStream());
			input.readInt();
			input.readByte();
			ByteBuf frame = new PeerCodec().encode(input.readLong(), ANSWER);
			OutputStream output = socket.getOutputStream();
			int size = frame.readableBytes() / PIECES + 1;
			for (int piece = 0; piece < pieces; piece++) {
				byte[] bytes = new byte[Math.min(size, frame.readableBytes())];
				frame.readBytes(bytes);
				output.write(bytes);
				Thread.sleep(PAUSE_MILLISECONDS);
			}
			input.readAllBytes();
		}
		catch (IOException ex) {
			// The client has closed the connection.
			assertThat(ex).isNotNull();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
