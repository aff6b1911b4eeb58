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
 * Benchmark of the transport between two processes on one machine. Not a test.
 *
 * <pre>
 * serve HTTP_PORT PEER_PORT
 * http PORT RATE SECONDS CONNECTIONS
 * peer PORT RATE SECONDS
 * idle PORT CONNECTIONS
 * </pre>
 *
 * RATE is in requests per second; a rate of 0 runs a closed loop with 64 requests in
 * flight instead. At a fixed rate, latency is measured from the time at which a request
 * was scheduled, so that delays of the sender are included (no coordinated omission).
 */
public final class TransportBenchmark {

	private static final String HOST = "127.0.0.1";

	private static final byte[] PAYLOAD = ("\"" + "x".repeat(510) + "\"").getBytes(StandardCharsets.UTF_8);

	private static final int REQUESTS_IN_FLIGHT = 64;

	private static final long REQUEST_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

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

	private static CompletableFuture<HttpServerResponse> echo(HttpServerRequest request) {
		byte[] body = "/memory".equals(request.path()) ? memoryUsage() : request.body();
		return CompletableFuture.completedFuture(new HttpServerResponse(200,
				Map.of("X-Request-Id", request.header("x-request-id").orElse(""), "Magnolialead-Term", "1",
						"Magnolialead-Position-Term", "1", "Magnolialead-Position-Index", "1"),
				body));
	}

	private static byte[] memoryUsage() {
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

	private static void measureHttp(int port, int rate, int seconds, int connectionCount) throws Exception {
		try (MemberConnector connector = new MemberConnector()) {
			ConnectionPool pool = new ConnectionPool(connector, HOST + ":" + port, connectionCount,
					MonotonicClock.SYSTEM);
			MemberRequest memberRequest = new MemberRequest("POST", "/echo", PAYLOAD);
			IntFunction<CompletableFuture<?>> request = (number) -> pool
				.acquire(System.nanoTime() + REQUEST_TIMEOUT_NANOSECONDS)
				.thenCompose((connection) -> connection
					.exchange(memberRequest, System.nanoTime() + REQUEST_TIMEOUT_NANOSECONDS)
					.whenComplete((response, failure) -> pool.release(connection, failure == null)));
			run("HTTP", request, rate, seconds, Math.min(REQUESTS_IN_FLIGHT, connectionCount));
		}
	}

	private static void measurePeer(int port, int rate, int seconds) throws Exception {
		ExecuteRequest message = new ExecuteRequest("g", StatementKind.READ, PAYLOAD, "browsing", "session",
				new LogPosition(1, 1), "", "", 5_000, 1);
		try (PeerClient client = new PeerClient(MonotonicClock.SYSTEM)) {
			String address = HOST + ":" + port;
			run("peer", (number) -> client.request(address, message, System.nanoTime() + REQUEST_TIMEOUT_NANOSECONDS),
					rate, seconds, REQUESTS_IN_FLIGHT);
		}
	}

	private static void run(String name, IntFunction<CompletableFuture<?>> request, int rate, int seconds, int inFlight)
			throws Exception {
		for (int duration : new int[] { WARM_UP_SECONDS, seconds }) {
			String label = (duration == seconds) ? name : name + " warm-up";
			if (rate > 0) {
				runAtFixedRate(label, request, rate, duration);
			}
			else {
				runClosedLoop(label, request, duration, inFlight);
			}
		}
	}

	private static void runAtFixedRate(String name, IntFunction<CompletableFuture<?>> request, int rate, int seconds)
			throws Exception {
		int total = rate * seconds;
		long[] latencies = new long[total];
		AtomicInteger failures = new AtomicInteger();
		CountDownLatch remaining = new CountDownLatch(total);
		long start = System.nanoTime();
		for (int number = 0; number < total; number++) {
			int index = number;
			long scheduledTime = start + number * TimeUnit.SECONDS.toNanos(1) / rate;
			while (scheduledTime - System.nanoTime() > 0) {
				LockSupport.parkNanos(scheduledTime - System.nanoTime());
			}
			request.apply(number).whenComplete((answer, failure) -> {
				latencies[index] = System.nanoTime() - scheduledTime;
				if (failure != null) {
					failures.incrementAndGet();
				}
				remaining.countDown();
			});
		}
		remaining.await();
		report(name, latencies, total, failures.get(), System.nanoTime() - start);
	}

	private static void runClosedLoop(String name, IntFunction<CompletableFuture<?>> request, int seconds, int inFlight)
			throws Exception {
		long start = System.nanoTime();
		long end = start + TimeUnit.SECONDS.toNanos(seconds);
		long[] latencies = new long[20_000_000];
		AtomicInteger done = new AtomicInteger();
		AtomicInteger failures = new AtomicInteger();
		CountDownLatch remaining = new CountDownLatch(inFlight);
		for (int number = 0; number < inFlight; number++) {
			repeat(request, number, end, latencies, done, failures, remaining);
		}
		remaining.await();
		report(name, latencies, done.get(), failures.get(), System.nanoTime() - start);
	}

	private static void repeat(IntFunction<CompletableFuture<?>> request, int number, long end, long[] latencies,
			AtomicInteger done, AtomicInteger failures, CountDownLatch remaining) {
		long start = System.nanoTime();
		if (end - start <= 0) {
			remaining.countDown();
			return;
		}
		request.apply(number).whenCompleteAsync((answer, failure) -> {
			latencies[done.getAndIncrement()] = System.nanoTime() - start;
			if (failure != null) {
				failures.incrementAndGet();
			}
			repeat(request, number, end, latencies, done, failures, remaining);
		});
	}

	private static void measureIdle(int port, int count) throws Exception {
		System.out.println("before: " + get(port, "/memory"));
		List<Socket> sockets = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			Socket socket = new Socket(HOST, port);
			sockets.add(socket);
			socket.getOutputStream().write("GET /echo HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			socket.getInputStream().read(new byte[1_024]);
		}
		System.out.println("with " + count + " idle connections: " + get(port, "/memory"));
		for (Socket socket : sockets) {
			socket.close();
		}
	}

	private static String get(int port, String path) throws Exception {
		try (MemberConnector connector = new MemberConnector()) {
			MemberConnection connection = connect(connector, port);
			byte[] body = connection
				.exchange(new MemberRequest("GET", path, new byte[0]), System.nanoTime() + REQUEST_TIMEOUT_NANOSECONDS)
				.get()
				.body();
			return new String(body, StandardCharsets.UTF_8);
		}
	}

	private static MemberConnection connect(MemberConnector connector, int port) throws Exception {
		return connector.connect(HOST + ":" + port, System.nanoTime() + REQUEST_TIMEOUT_NANOSECONDS).get();
	}

	private static void report(String name, long[] latencies, int count, int failures, long elapsed) {
		long[] sorted = Arrays.copyOf(latencies, count);
		Arrays.sort(sorted);
		System.out.printf("%s: %d requests, %d failed, %.0f/s, p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms, max %.3f ms%n",
				name, count, failures, count * 1e9 / elapsed, percentile(sorted, 0.5), percentile(sorted, 0.99),
				percentile(sorted, 0.999), percentile(sorted, 1.0));
	}

	private static double percentile(long[] sorted, double quantile) {
		return sorted[(int) Math.min(sorted.length - 1, sorted.length * quantile)] / 1e6;
	}

}
