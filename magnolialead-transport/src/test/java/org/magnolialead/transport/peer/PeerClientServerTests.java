package org.magnolialead.transport.peer;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;
import org.magnolialead.api.message.InitializeAnswer;
import org.magnolialead.api.message.InitializeRequest;
import org.magnolialead.api.message.ViewQuery;
import org.magnolialead.transport.TestChecks;

class PeerClientServerTests {

	private static final String HOST = "127.0.0.1";

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final PeerClient client = new PeerClient(MonotonicClock.SYSTEM);

	private final PeerCodec codec = new PeerCodec();

	private final List<AutoCloseable> resources = new ArrayList<>(List.of(this.client));

	@AfterEach
	void close() throws Exception {
		for (AutoCloseable resource : this.resources) {
			resource.close();
		}
		this.executor.shutdownNow();
	}

	/**
	 * Guards against a slow request that blocks later ones on the same connection.
	 */
	@Test
	void fastRequestCompletesBeforeSlowOne() throws Exception {
		CompletableFuture<Object> slow = new CompletableFuture<>();
		PeerServer server = startServer((message) -> (message instanceof InitializeRequest) ? slow
				: CompletableFuture.completedFuture(named("fast")));
		CompletableFuture<Object> first = request(server.port(), new InitializeRequest(), 10_000);
		TestChecks.checkEquals(named("fast"), request(server.port(), new ViewQuery(), 10_000).get());
		slow.complete(named("slow"));
		TestChecks.checkEquals(named("slow"), first.get());
	}

	/**
	 * Guards against answers that are assigned to the wrong request when they arrive out
	 * of order, late or twice.
	 */
	@Test
	void reorderedLateAndDuplicateAnswersAreMatchedOrDropped() throws Exception {
		CountDownLatch timedOut = new CountDownLatch(1);
		int port = startRawServer((socket) -> {
			DataInputStream input = new DataInputStream(socket.getInputStream());
			socket.getOutputStream().write(answer(readCorrelationId(input), "first"));
			long late = readCorrelationId(input);
			timedOut.await();
			long second = readCorrelationId(input);
			long third = readCorrelationId(input);
			OutputStream output = socket.getOutputStream();
			output.write(answer(third, "third"));
			output.write(answer(late, "late"));
			output.write(answer(third, "duplicate"));
			output.write(answer(second, "second"));
			output.write(answer(second, "duplicate"));
			long fourth = readCorrelationId(input);
			output.write(answer(fourth, "fourth"));
			input.read();
		});
		TestChecks.checkEquals(named("first"), request(port, new ViewQuery(), 10_000).get());
		checkFailure(ErrorCode.NO_ANSWER, request(port, new ViewQuery(), 500));
		timedOut.countDown();
		CompletableFuture<Object> second = request(port, new ViewQuery(), 10_000);
		CompletableFuture<Object> third = request(port, new ViewQuery(), 10_000);
		TestChecks.checkEquals(named("second"), second.get());
		TestChecks.checkEquals(named("third"), third.get());
		TestChecks.checkEquals(named("fourth"), request(port, new ViewQuery(), 10_000).get());
	}

	/**
	 * Guards against an unsent request that is reported as possibly executed, and against
	 * a request that was possibly executed but is reported as unsent.
	 */
	@Test
	void failureReportsWhetherRequestWasSent() throws Exception {
		int unused;
		try (ServerSocket socket = new ServerSocket(0)) {
			unused = socket.getLocalPort();
		}
		checkFailure(ErrorCode.UNREACHABLE, request(unused, new ViewQuery(), 10_000));
		checkFailure(ErrorCode.UNREACHABLE, request(unused, new ViewQuery(), -1));
		int closing = startRawServer((socket) -> readCorrelationId(new DataInputStream(socket.getInputStream())));
		checkFailure(ErrorCode.NO_ANSWER, request(closing, new ViewQuery(), 10_000));
	}

	/**
	 * Guards against malformed input that stops the server or affects other connections.
	 */
	@Test
	void malformedFramesCloseOnlyTheirConnection() throws Exception {
		PeerServer server = startServer((message) -> CompletableFuture.completedFuture(named("ok")));
		TestChecks.checkEquals(named("ok"), request(server.port(), new ViewQuery(), 10_000).get());
		ByteBuf oversized = Unpooled.buffer().writeInt(PeerCodec.MAXIMUM_FRAME_BYTES).writeZero(64);
		ByteBuf negative = Unpooled.buffer().writeInt(-1).writeZero(64);
		ByteBuf unknownKind = Unpooled.buffer().writeInt(9).writeByte(99).writeLong(1);
		ByteBuf undecodable = Unpooled.buffer().writeInt(10).writeByte(1).writeLong(1).writeByte(0xC1);
		for (ByteBuf malformed : List.of(oversized, negative, unknownKind, undecodable)) {
			try (Socket socket = new Socket(HOST, server.port())) {
				socket.getOutputStream().write(malformed.array(), 0, malformed.readableBytes());
				TestChecks.checkEquals(-1, readOrEndOfStream(socket));
			}
		}
		TestChecks.checkEquals(named("ok"), request(server.port(), new ViewQuery(), 10_000).get());
	}

	/**
	 * Guards against handler failures after which the caller waits until its deadline.
	 */
	@Test
	void handlerFailureIsSentWithCodeAndStep() throws Exception {
		PeerServer server = startServer((message) -> {
			throw new MagnolialeadException(ErrorCode.NOT_OWNER, Step.QUEUE, "", "not here");
		});
		ExecutionException failure = TestChecks.checkThrows(ExecutionException.class,
				request(server.port(), new ViewQuery(), 10_000)::get);
		MagnolialeadException cause = (MagnolialeadException) failure.getCause();
		TestChecks.checkEquals(ErrorCode.NOT_OWNER, cause.code());
		TestChecks.checkEquals(Step.QUEUE, cause.step());
		TestChecks.checkEquals(HOST + ":" + server.port(), cause.peer());
	}

	/**
	 * Guards against memory that grows without limit while a peer does not read, and
	 * against a connection that was lost without being closed and is used forever.
	 */
	@Test
	void queueIsBoundedAndConnectionToUnresponsivePeerIsClosed() throws Exception {
		CountDownLatch end = new CountDownLatch(1);
		int port = startRawServer((socket) -> end.await());
		List<CompletableFuture<Object>> requests = new ArrayList<>();
		requests.add(request(port, new ViewQuery(), 60_000));
		Object large = new InitializeAnswer(false, "x".repeat(1_000_000));
		for (int count = 0; count < 40; count++) {
			requests.add(request(port, large, 60_000));
		}
		checkFailure(ErrorCode.OVERLOADED, requests.get(40));
		checkFailure(ErrorCode.NO_ANSWER, requests.get(0));
		end.countDown();
	}

	/**
	 * Guards against answers to messages that expect none.
	 */
	@Test
	void messageWithoutAnswerIsHandled() throws Exception {
		CompletableFuture<Object> handled = new CompletableFuture<>();
		PeerServer server = startServer((message) -> {
			handled.complete(message);
			return null;
		});
		this.client.send(HOST + ":" + server.port(), new ViewQuery());
		TestChecks.checkEquals(new ViewQuery(), handled.get(10, TimeUnit.SECONDS));
	}

	/**
	 * Guards against a leader whose messages wait behind the requests of a whole fleet,
	 * so that it loses its authority.
	 */
	@Test
	void urgentMessageIsHandledWhileTheExecutorIsBusy() throws Exception {
		CountDownLatch end = new CountDownLatch(1);
		CountDownLatch busy = new CountDownLatch(1);
		CompletableFuture<Object> handled = new CompletableFuture<>();
		ExecutorService singleThread = Executors.newSingleThreadExecutor();
		this.resources.add(singleThread::shutdownNow);
		PeerServer server = new PeerServer(HOST, 0, new PeerHandler() {

			@Override
			public CompletableFuture<Object> handle(Object message) {
				if (isUrgent(message)) {
					handled.complete(message);
					return null;
				}
				busy.countDown();
				awaitUninterruptibly(end);
				return null;
			}

			@Override
			public boolean isUrgent(Object message) {
				return message instanceof ViewQuery;
			}

		}, singleThread);
		this.resources.add(server);
		this.client.send(HOST + ":" + server.port(), new InitializeRequest());
		busy.await();
		this.client.send(HOST + ":" + server.port(), new ViewQuery());
		TestChecks.checkEquals(new ViewQuery(), handled.get(10, TimeUnit.SECONDS));
		end.countDown();
	}

	private static void awaitUninterruptibly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private PeerServer startServer(PeerHandler handler) {
		PeerServer server = new PeerServer(HOST, 0, handler, this.executor);
		this.resources.add(server);
		return server;
	}

	private int startRawServer(SocketHandler handler) throws IOException {
		ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName(HOST));
		this.resources.add(listener);
		this.executor.execute(() -> {
			try (Socket socket = listener.accept()) {
				handler.handle(socket);
			}
			catch (Exception ex) {
				// The test closes the listener when it ends.
			}
		});
		return listener.getLocalPort();
	}

	private CompletableFuture<Object> request(int port, Object message, long milliseconds) {
		return this.client.request(HOST + ":" + port, message,
				System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds));
	}

	private byte[] answer(long correlationId, String name) {
		ByteBuf frame = this.codec.encode(correlationId, named(name));
		byte[] bytes = new byte[frame.readableBytes()];
		frame.readBytes(bytes);
		return bytes;
	}

	private static InitializeAnswer named(String name) {
		return new InitializeAnswer(true, name);
	}

	private static long readCorrelationId(DataInputStream input) throws IOException {
		int length = input.readInt();
		input.readByte();
		long correlationId = input.readLong();
		input.skipNBytes(length - Byte.BYTES - Long.BYTES);
		return correlationId;
	}

	private static int readOrEndOfStream(Socket socket) {
		try {
			return socket.getInputStream().read();
		}
		catch (IOException ex) {
			return -1;
		}
	}

	private static void checkFailure(ErrorCode code, CompletableFuture<Object> answer) {
		ExecutionException failure = TestChecks.checkThrows(ExecutionException.class, answer::get);
		TestChecks.checkTrue(failure.getCause() instanceof MagnolialeadException, failure::toString);
		MagnolialeadException cause = (MagnolialeadException) failure.getCause();
		TestChecks.checkEquals(code, cause.code(), cause.toString());
		TestChecks.checkEquals(Step.FORWARD, cause.step());
	}

	private interface SocketHandler {

		void handle(Socket socket) throws Exception;

	}

}
