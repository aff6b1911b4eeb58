package org.magnolialead.transport.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnolialead.transport.TestChecks;

class HttpServerTests {

	private static final String HOST = "127.0.0.1";

	private static final String GET = "GET /%s HTTP/1.1\r\nHost: h\r\n\r\n";

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final List<String> handled = new ArrayList<>();

	private final CountDownLatch slowArrived = new CountDownLatch(1);

	private final CompletableFuture<Void> slowMayEnd = new CompletableFuture<>();

	private final HttpServer server = new HttpServer(
			new HttpServerSettings(HOST, 0, 1_024, 2_048, Duration.ofMillis(300), Duration.ofSeconds(20), 8),
			this::handle, this.executor, Duration.ofSeconds(20));

	@AfterEach
	void close() {
		this.server.close();
		this.executor.shutdownNow();
	}

	/**
	 * Guards against responses to pipelined requests that are sent out of order.
	 */
	@Test
	void pipelinedRequestsAreAnsweredInOrder() throws Exception {
		try (Socket socket = connect()) {
			send(socket, GET.formatted("slow") + GET.formatted("second"));
			send(socket, "POST /third HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody" + GET.formatted("fourth"));
			this.slowArrived.await();
			this.slowMayEnd.complete(null);
			for (String expected : List.of("/slow:", "/second:", "/third:body", "/fourth:")) {
				TestChecks.checkEquals(expected, readResponse(socket).body());
			}
		}
	}

	/**
	 * Guards against malformed requests that reach the handler or stop the server.
	 */
	@Test
	void malformedRequestsAreRejectedAndServerContinues() throws Exception {
		Map<String, Integer> requests = Map.ofEntries(Map.entry("NONSENSE\r\n\r\n", 400),
				Map.entry("GET / HTTP/9.x\r\n\r\n", 400), Map.entry("GET /%zz HTTP/1.1\r\nHost: h\r\n\r\n", 400),
				Map.entry("GET / HTTP/1.1\r\nHost h\r\n\r\n", 400),
				Map.entry("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
				Map.entry("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", 400),
				Map.entry("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
				Map.entry("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
				Map.entry("GET /" + "x".repeat(3_000) + " HTTP/1.1\r\n\r\n", 413),
				Map.entry("GET / HTTP/1.1\r\nA: " + "x".repeat(3_000) + "\r\n\r\n", 413),
				Map.entry("POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413),
				Map.entry("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + "x".repeat(2_048), 413));
		for (Map.Entry<String, Integer> request : requests.entrySet()) {
			try (Socket socket = connect()) {
				send(socket, request.getKey());
				Response response = readResponse(socket);
				TestChecks.checkEquals(request.getValue(), response.status(), request.getKey());
				TestChecks.checkTrue(response.body().contains("\"outcome\":\"NOT_RUN\""), response::body);
				TestChecks.checkEquals(-1, socket.getInputStream().read());
			}
		}
		TestChecks.checkTrue(this.handled.isEmpty(), this.handled::toString);
		TestChecks.checkEquals("/after:", get("after").body());
	}

	/**
	 * Guards against slow or incomplete requests that keep a connection open forever.
	 */
	@Test
	void incompleteAndSlowRequestsTimeOut() throws Exception {
		for (String part : List.of("G", "GET / HTTP/1.1\r\n", "GET / HTTP/1.1\r\nHost: h\r\n",
				"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf")) {
			try (Socket socket = connect()) {
				send(socket, part);
				TestChecks.checkEquals(408, readResponse(socket).status(), part);
			}
		}
		try (Socket socket = connect()) {
			send(socket, GET.formatted("first") + "GET / HTTP/1.1\r\n");
			TestChecks.checkEquals(200, readResponse(socket).status());
			TestChecks.checkEquals(408, readResponse(socket).status());
		}
		try (Socket socket = connect()) {
			sendSlowly(socket);
			TestChecks.checkEquals(408, readResponse(socket).status());
		}
		TestChecks.checkEquals("/after:", get("after").body());
	}

	/**
	 * Guards against a shutdown that aborts a request in progress or loses one that
	 * arrives on an open connection.
	 */
	@Test
	void drainingCompletesRequestsInProgress() throws Exception {
		try (Socket slow = connect(); Socket idle = connect()) {
			send(idle, GET.formatted("before"));
			TestChecks.checkEquals("keep-alive", readResponse(idle).connection());
			send(slow, GET.formatted("slow"));
			this.slowArrived.await();
			this.server.stopAccepting();
			send(idle, GET.formatted("late"));
			Response late = readResponse(idle);
			TestChecks.checkEquals("/late:", late.body());
			TestChecks.checkEquals("close", late.connection());
			TestChecks.checkTrue(!this.server.drained().isDone(),
					() -> "drained before the request in progress was complete");
			this.slowMayEnd.complete(null);
			TestChecks.checkEquals("/slow:", readResponse(slow).body());
			this.server.drained().get(20, TimeUnit.SECONDS);
			TestChecks.checkThrows(IOException.class, this::connect);
		}
	}

	/**
	 * Guards against an unlimited number of connections that exhausts memory.
	 */
	@Test
	void connectionsBeyondLimitAreRejected() throws Exception {
		List<Socket> sockets = new ArrayList<>();
		for (int count = 0; count < 8; count++) {
			Socket socket = connect();
			sockets.add(socket);
			send(socket, GET.formatted("x"));
			TestChecks.checkEquals(200, readResponse(socket).status());
		}
		try (Socket socket = connect()) {
			TestChecks.checkEquals(503, readResponse(socket).status());
		}
		for (Socket socket : sockets) {
			socket.close();
		}
	}

	/**
	 * Guards against handler failures that leave the caller without a response.
	 */
	@Test
	void handlerFailuresAreReported() throws Exception {
		for (String path : List.of("throw", "fail", "null")) {
			Response response = get(path);
			TestChecks.checkEquals(500, response.status());
			TestChecks.checkTrue(response.body().contains("\"outcome\":\"UNKNOWN\""), response::body);
		}
	}

	private CompletableFuture<HttpServerResponse> handle(HttpServerRequest request) {
		synchronized (this.handled) {
			this.handled.add(request.path());
		}
		byte[] body = (request.path() + ":" + new String(request.body(), StandardCharsets.UTF_8))
			.getBytes(StandardCharsets.UTF_8);
		CompletableFuture<HttpServerResponse> response = CompletableFuture
			.completedFuture(new HttpServerResponse(200, Map.of(), body));
		switch (request.path()) {
			case "/slow":
				this.slowArrived.countDown();
				return this.slowMayEnd.thenCompose((ended) -> response);
			case "/throw":
				throw new IllegalStateException("expected by the test");
			case "/fail":
				return CompletableFuture.failedFuture(new IllegalStateException("expected by the test"));
			case "/null":
				return CompletableFuture.completedFuture(null);
			default:
				return response;
		}
	}

	private Response get(String path) throws IOException {
		try (Socket socket = connect()) {
			send(socket, GET.formatted(path));
			return readResponse(socket);
		}
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket(HOST, this.server.port());
		socket.setSoTimeout(20_000);
		return socket;
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
	}

	private static void sendSlowly(Socket socket) throws Exception {
		for (int count = 0; count < 200; count++) {
			try {
				send(socket, (count == 0) ? "GET /" : "x");
			}
			catch (IOException ex) {
				return;
			}
			if (socket.getInputStream().available() > 0) {
				return;
			}
			Thread.sleep(20);
		}
	}

	private static Response readResponse(Socket socket) throws IOException {
		InputStream input = socket.getInputStream();
		int status = Integer.parseInt(readLine(input).split(" ")[1]);
		int length = 0;
		String connection = "";
		for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
			String[] header = line.split(":\\s*", 2);
			if (header[0].equalsIgnoreCase("content-length")) {
				length = Integer.parseInt(header[1]);
			}
			if (header[0].equalsIgnoreCase("connection")) {
				connection = header[1];
			}
		}
		return new Response(status, connection, new String(input.readNBytes(length), StandardCharsets.UTF_8));
	}

	private static String readLine(InputStream input) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = input.read(); next != '\n'; next = input.read()) {
			if (next < 0) {
				throw new IOException("the connection ended");
			}
			if (next != '\r') {
				line.write(next);
			}
		}
		return line.toString(StandardCharsets.UTF_8);
	}

	private record Response(int status, String connection, String body) {
	}

}
