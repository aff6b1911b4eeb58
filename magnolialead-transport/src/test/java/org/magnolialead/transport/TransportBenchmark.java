package org.magnolialead.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;

import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.StatementKind;
import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.api.message.ExecuteRequest;
import org.magnolialead.transport.http.HttpServer;
import org.magnolialead.transport.http.HttpServerRequest;
import org.magnolialead.transport.http.HttpServerResponse;
import org.magnolialead.transport.http.HttpServerSettings;
import org.magnolialead.transport.member.ConnectionPool;
import org.magnolialead.transport.member.MemberConnection;
import org.magnolialead.transport.member.MemberConnector;
import org.magnolialead.transport.member.MemberRequest;
import org.magnolialead.transport.peer.PeerClient;
import org.magnolialead.transport.peer.PeerServer;

/**
 * Measures the transport between two processes of this machine. Not a test.
 *
 * <pre>
 * serve HTTP_PORT PEER_PORT
 * http PORT RATE SECONDS CONNECTIONS
 * peer PORT RATE SECONDS
 * idle PORT CONNECTIONS
 * </pre>
 *
 * A rate of 0 keeps 64 requests in flight instead. Latency counts from the time at which
 * a request was due, so a late sender does not hide delays.
 */
public final class TransportBenchmark {

	private static final String HOST = "127.0.0.1";

	private static final byte[] PAYLOAD = ("\"" + "x".repeat(510) + "\"").getBytes(StandardCharsets.UTF_8);

	private static final int IN_FLIGHT = 64;

	private static final long PATIENCE = TimeUnit.SECONDS.toNanos(10);

	private static final int WARM_UP_SECONDS = 5;

	private TransportBenchmark() {
	}

	public static void main(String[] arguments) throws Exception {
		List<Integer> numbers = Arrays.stream(arguments).skip(1).map(Integer::valueOf).toList();
		switch (arguments[0]) {
			case "serve" -> serve(numbers.get(0), numbers.get(1));
			case "http" -> measureHttp(numbers.get(0), numbers.get(1), numbers.get(2), numbers.get(3));
			case "peer" -> measurePeer(numbers.get(0), numbers.get(1), numbers.get(2));
			case "idle" -> measureIdle(numbers.get(0), numbers.get(1));
			default -> throw new IllegalArgumentException("unknown mode " + arguments[0]);
		}
		System.exit(0);
	}

	private static void serve(int httpPort, int peerPort) throws Exception {
		ExecutorService executor = Executors.newFixedThreadPool(4);
		ExecuteAnswer answer = ExecuteAnswer.done(PAYLOAD, 1, new LogPosition(1, 1), "m", false, "");
		try (HttpServer http = new HttpServer(HttpServerSettings.defaults(HOST, httpPort), TransportBenchmark::echo,
				executor);
				PeerServer peer = new PeerServer(HOST, peerPort, (message) -> CompletableFuture.completedFuture(answer),
						executor)) {
			System.out.println("serving HTTP on " + http.port() + " and peers on " + peer.port());
			new CountDownLatch(1).await();
		}
	}

	private static CompletableFuture<HttpServerResponse> echo(HttpServerRequest call) {
		byte[] body = "/memory".equals(call.path()) ? memory() : call.body();
		return CompletableFuture.completedFuture(
				new HttpServerResponse(200, Map.of("X-Request-Id", call.header("x-request-id").orElse(""), "Magnolialead-Term",
						"1", "Magnolialead-Position-Term", "1", "Magnolialead-Position-Index", "1"), body));
	}

	private static byte[] memory() {
		System.gc();
		Runtime runtime = Runtime.getRuntime();
		long heap = (runtime.totalMemory() - runtime.freeMemory()) / 1_024;
		try {
			String resident = Files.readAllLines(Path.of("/proc/self/status"))
				.stream()
				.filter((line) -> line.startsWith("VmRSS"))
				.findFirst()
				.orElse("VmRSS unknown");
			return "heap after collection %d kB, %s".formatted(heap, resident.replaceAll("\\s+", " "))
				.getBytes(StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void measureHttp(int port, int rate, int seconds, int count) throws Exception {
		try (MemberConnector connector = new MemberConnector()) {
			ConnectionPool pool = new ConnectionPool(connector, HOST + ":" + port, count, MonotonicClock.SYSTEM);
			MemberRequest call = new MemberRequest("POST", "/echo", PAYLOAD);
			IntFunction<CompletableFuture<?>> request = (number) -> pool.acquire(System.nanoTime() + PATIENCE)
				.thenCompose((connection) -> connection.exchange(call, System.nanoTime() + PATIENCE)
					.whenComplete((reply, failure) -> pool.release(connection, failure == null)));
			run("HTTP", request, rate, seconds, Math.min(IN_FLIGHT, count));
		}
	}

	private static void measurePeer(int port, int rate, int seconds) throws Exception {
		ExecuteRequest message = new ExecuteRequest("g", StatementKind.READ, PAYLOAD, "browsing", "session",
				new LogPosition(1, 1), "", "", 5_000, 1);
		try (PeerClient client = new PeerClient(MonotonicClock.SYSTEM)) {
			String address = HOST + ":" + port;
			run("peer", (number) -> client.request(address, message, System.nanoTime() + PATIENCE), rate, seconds,
					IN_FLIGHT);
		}
	}

	private static void run(String name, IntFunction<CompletableFuture<?>> request, int rate, int seconds, int inFlight)
			throws Exception {
		for (int duration : new int[] { WARM_UP_SECONDS, seconds }) {
			String label = (duration == seconds) ? name : name + " warm-up";
			if (rate > 0) {
				openLoop(label, request, rate, duration);
			}
			else {
				closedLoop(label, request, duration, inFlight);
			}
		}
	}

	private static void openLoop(String name, IntFunction<CompletableFuture<?>> request, int rate, int seconds)
			throws Exception {
		int total = rate * seconds;
		long[] latencies = new long[total];
		AtomicInteger failures = new AtomicInteger();
		CountDownLatch left = new CountDownLatch(total);
		long start = System.nanoTime();
		for (int number = 0; number < total; number++) {
			int index = number;
			long due = start + number * TimeUnit.SECONDS.toNanos(1) / rate;
			while (due - System.nanoTime() > 0) {
				LockSupport.parkNanos(due - System.nanoTime());
			}
			request.apply(number).whenComplete((answer, failure) -> {
				latencies[index] = System.nanoTime() - due;
				if (failure != null) {
					failures.incrementAndGet();
				}
				left.countDown();
			});
		}
		left.await();
		report(name, latencies, total, failures.get(), System.nanoTime() - start);
	}

	private static void closedLoop(String name, IntFunction<CompletableFuture<?>> request, int seconds, int inFlight)
			throws Exception {
		long start = System.nanoTime();
		long end = start + TimeUnit.SECONDS.toNanos(seconds);
		long[] latencies = new long[20_000_000];
		AtomicInteger done = new AtomicInteger();
		AtomicInteger failures = new AtomicInteger();
		CountDownLatch left = new CountDownLatch(inFlight);
		for (int number = 0; number < inFlight; number++) {
			repeat(request, number, end, latencies, done, failures, left);
		}
		left.await();
		report(name, latencies, done.get(), failures.get(), System.nanoTime() - start);
	}

	private static void repeat(IntFunction<CompletableFuture<?>> request, int number, long end, long[] latencies,
			AtomicInteger done, AtomicInteger failures, CountDownLatch left) {
		long start = System.nanoTime();
		if (end - start <= 0) {
			left.countDown();
			return;
		}
		request.apply(number).whenCompleteAsync((answer, failure) -> {
			latencies[done.getAndIncrement()] = System.nanoTime() - start;
			if (failure != null) {
				failures.incrementAndGet();
			}
			repeat(request, number, end, latencies, done, failures, left);
		});
	}

	private static void measureIdle(int port, int count) throws Exception {
		System.out.println("before: " + ask(port, "/memory"));
		List<Socket> sockets = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			Socket socket = new Socket(HOST, port);
			sockets.add(socket);
			socket.getOutputStream().write("GET /echo HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			socket.getInputStream().read(new byte[1_024]);
		}
		System.out.println("with " + count + " idle connections: " + ask(port, "/memory"));
		for (Socket socket : sockets) {
			socket.close();
		}
	}

	private static String ask(int port, String path) throws Exception {
		try (MemberConnector connector = new MemberConnector()) {
			MemberConnection connection = connect(connector, port);
			byte[] body = connection.exchange(new MemberRequest("GET", path, new byte[0]), System.nanoTime() + PATIENCE)
				.get()
				.body();
			return new String(body, StandardCharsets.UTF_8);
		}
	}

	private static MemberConnection connect(MemberConnector connector, int port) throws Exception {
		return connector.connect(HOST + ":" + port, System.nanoTime() + PATIENCE).get();
	}

	private static void report(String name, long[] latencies, int count, int failures, long elapsed) {
		long[] sorted = Arrays.copyOf(latencies, count);
		Arrays.sort(sorted);
		System.out.printf("%s: %d requests, %d failed, %.0f/s, p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms, max %.3f ms%n",
				name, count, failures, count * 1e9 / elapsed, percentile(sorted, 0.5), percentile(sorted, 0.99),
				percentile(sorted, 0.999), percentile(sorted, 1.0));
	}

	private static double percentile(long[] sorted, double share) {
		return sorted[(int) Math.min(sorted.length - 1, sorted.length * share)] / 1e6;
	}

}
