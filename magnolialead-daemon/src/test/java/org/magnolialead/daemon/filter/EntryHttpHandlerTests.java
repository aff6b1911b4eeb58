package org.magnolialead.daemon.filter;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Rank;
import org.magnolialead.api.StatementKind;
import org.magnolialead.api.Step;
import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.api.message.ExecuteRequest;
import org.magnolialead.api.servicelevel.RequestSlot;
import org.magnolialead.api.servicelevel.ServiceLevelSnapshot;
import org.magnolialead.api.servicelevel.WriteSlot;
import org.magnolialead.daemon.control.WallClock;
import org.magnolialead.daemon.servicelevel.ServiceLevelRecorder;
import org.magnolialead.transport.http.HttpServer;
import org.magnolialead.transport.http.HttpServerRequest;
import org.magnolialead.transport.http.HttpServerResponse;
import org.magnolialead.transport.http.HttpServerSettings;

class EntryHttpHandlerTests {

	private static final long LEASE_NANOSECONDS = TimeUnit.MINUTES.toNanos(10);

	private static final String SCHEDULING = "scheduling";

	private final FleetView view = new FleetView(1, FleetConfiguration.initial(),
			Map.of("records", new GroupView("records", 1, 1, "m1", 1, "", "d1", 1, Map.of())), Map.of());

	private final List<ExecuteRequest> dispatched = new CopyOnWriteArrayList<>();

	private final List<MemberDescription> announced = new CopyOnWriteArrayList<>();

	private final MetricRegistry registry = new MetricRegistry();

	private final AtomicLong clockOffset = new AtomicLong();

	private final MonotonicClock clock = () -> System.nanoTime() + this.clockOffset.get();

	private final LeaseGate gate = new LeaseGate(System.nanoTime());

	private final SessionTokenCodec tokens = new SessionTokenCodec(
			"0123456789abcdef".getBytes(StandardCharsets.US_ASCII));

	private final AdmissionControl admission = new AdmissionControl(20);

	private final ServiceLevelRecorder serviceLevels = new ServiceLevelRecorder("d1", "i1", this.clock,
			WallClock.SYSTEM);

	private final EntryHttpHandler handler = new EntryHttpHandler(
			RequestFilters.chain(this.clock, this.gate, () -> this.view, this.tokens, this.admission,
					new ServedRequestMetrics(this.registry), this.serviceLevels, this::dispatch),
			this.announced::add, () -> this.gate.isHeld(this.clock.nanoseconds()), this.registry, this.serviceLevels);

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final HttpServer server = new HttpServer(HttpServerSettings.defaults("127.0.0.1", 0), this.handler,
			this.executor);

	private final HttpClient client = HttpClient.newHttpClient();

	private volatile CompletableFuture<ExecuteAnswer> answer = CompletableFuture.completedFuture(ExecuteAnswer
		.done("{\"row\":1}".getBytes(StandardCharsets.UTF_8), 3, new LogPosition(3, 8), "m1", false, ""));

	EntryHttpHandlerTests() {
		this.gate.renew(System.nanoTime() + LEASE_NANOSECONDS);
	}

	@AfterEach
	void close() {
		this.server.close();
		this.executor.shutdownNow();
	}

	/**
	 * Guards against malformed requests that reach a database, and against rejections
	 * that stop the server or do not report that nothing was run.
	 */
	@Test
	void malformedRequestsAreRejectedAndTheServerContinues() throws Exception {
		String signedWithOtherKey = new SessionTokenCodec(new byte[16]).encode(SessionToken.of("s"));
		String valid = this.tokens.encode(SessionToken.of("s"));
		List<Rejection> rejections = List.of(
				new Rejection(ErrorCode.BAD_REQUEST, post("/v1/groups/records/read", "{\"a\":", SCHEDULING)),
				new Rejection(ErrorCode.BAD_REQUEST, post("/v1/groups/records/read", "{},\"kind\":1", SCHEDULING)),
				new Rejection(ErrorCode.BAD_REQUEST, post("/v1/groups/records/read", "", SCHEDULING)),
				new Rejection(ErrorCode.BAD_REQUEST, post("/v1/groups/re%20cords/read", "{}", SCHEDULING)),
				new Rejection(ErrorCode.BAD_REQUEST, post("/v1/announcements", "{\"slots\":0}", "")),
				new Rejection(ErrorCode.UNKNOWN_GROUP, post("/v1/groups/other/read", "{}", SCHEDULING)),
				new Rejection(ErrorCode.UNKNOWN_PROFILE, post("/v1/groups/records/read", "{}", "none")),
				new Rejection(ErrorCode.INVALID_IDEMPOTENCY_KEY,
						post("/v1/groups/records/write", "{}", "confirmation")),
				new Rejection(ErrorCode.BAD_REQUEST, read().header(RequestHeaders.TIMEOUT, "0")),
				new Rejection(ErrorCode.BAD_REQUEST, read().header(RequestHeaders.TIMEOUT, "60001")),
				new Rejection(ErrorCode.BAD_REQUEST, read().header(RequestHeaders.TIMEOUT, "soon")),
				new Rejection(ErrorCode.BAD_REQUEST, read().header(RequestHeaders.SESSION, "two words")),
				new Rejection(ErrorCode.INVALID_SESSION_TOKEN,
						read().header(RequestHeaders.SESSION_TOKEN, signedWithOtherKey)),
				new Rejection(ErrorCode.INVALID_SESSION_TOKEN,
						read().header(RequestHeaders.SESSION_TOKEN, valid.substring(0, 20))),
				new Rejection(ErrorCode.INVALID_SESSION_TOKEN,
						read().header(RequestHeaders.SESSION_TOKEN, valid).header(RequestHeaders.SESSION, "other")));
		for (Rejection rejection : rejections) {
			HttpResponse<String> response = send(rejection.request());
			TestChecks.checkEquals(rejection.code().httpStatus(), response.statusCode(), response.body());
			TestChecks.checkTrue(response.body().contains("\"code\":\"" + rejection.code() + "\""), response::body);
			TestChecks.checkEquals("NOT_RUN", header(response, "Magnolialead-Outcome"));
		}
		TestChecks.checkEquals(404, send(post("/v1/groups/records/drop", "{}", SCHEDULING)).statusCode());
		TestChecks.checkTrue(this.dispatched.isEmpty(), this.dispatched::toString);
		TestChecks.checkEquals(200, send(read()).statusCode());
	}

	/**
	 * Guards against a session that does not read its own write, and against fields that
	 * are changed on the way to the owner.
	 */
	@Test
	void sessionTokenCarriesTheWriteToTheNextRead() throws Exception {
		HttpResponse<String> written = send(
				post("/v1/groups/records/write", "{\"x\":1}", SCHEDULING).header(RequestHeaders.SESSION, "household")
					.header(RequestHeaders.IDEMPOTENCY_KEY, "k1"));
		TestChecks.checkEquals("{\"row\":1}", written.body());
		TestChecks.checkEquals("DONE", header(written, "Magnolialead-Outcome"));
		TestChecks.checkEquals("3", header(written, "Magnolialead-Term"));
		TestChecks.checkEquals("m1", header(written, "Magnolialead-Member"));
		String token = header(written, "Magnolialead-Session-Token");
		send(read().header(RequestHeaders.SESSION_TOKEN, token));
		ExecuteRequest write = this.dispatched.get(0);
		TestChecks.checkEquals("{\"x\":1}", new String(write.statement(), StandardCharsets.UTF_8));
		TestChecks.checkEquals("k1", write.idempotencyKey());
		TestChecks.checkEquals(StatementKind.WRITE, write.kind());
		ExecuteRequest next = this.dispatched.get(1);
		TestChecks.checkEquals("household", next.session());
		TestChecks.checkEquals(new LogPosition(3, 8), next.sessionPosition());
		send(post("/v1/groups/records/transactions/t-1/commit", "", SCHEDULING));
		TestChecks.checkEquals("t-1", this.dispatched.get(2).transaction());
		TestChecks.checkEquals(StatementKind.COMMIT, this.dispatched.get(2).kind());
	}

	/**
	 * Guards against a daemon that accepts requests without a lease, or returns an
	 * acknowledgement after its lease has ended.
	 */
	@Test
	void leaseIsCheckedOnTheWayInAndOut() throws Exception {
		CompletableFuture<ExecuteAnswer> pending = new CompletableFuture<>();
		CompletableFuture<ExecuteAnswer> done = this.answer;
		this.answer = pending;
		CompletableFuture<HttpResponse<String>> waiting = this.client.sendAsync(read().build(),
				HttpResponse.BodyHandlers.ofString());
		while (this.dispatched.isEmpty()) {
			Thread.onSpinWait();
		}
		this.clockOffset.set(2 * LEASE_NANOSECONDS);
		pending.complete(done.get());
		TestChecks.checkTrue(waiting.get().body().contains("LEASE_LOST"), waiting.get()::body);
		TestChecks.checkEquals("UNKNOWN", header(waiting.get(), "Magnolialead-Outcome"));
		TestChecks.checkTrue(send(read()).body().contains("NO_LEASE"),
				() -> "a request without a lease must be rejected");
		TestChecks.checkEquals(503, send(request("/readiness").GET()).statusCode());
		TestChecks.checkEquals(200, send(request("/health").GET()).statusCode());
		TestChecks.checkEquals(1, this.dispatched.size());
		TestChecks.checkEquals(1L, this.registry.counter("requests.STANDARD.UNKNOWN").getCount());
		TestChecks.checkEquals(0L, this.registry.counter("requests.STANDARD.DONE").getCount());
	}

	/**
	 * Guards against requests that are dispatched after their deadline.
	 */
	@Test
	void expiredRequestIsNotDispatched() {
		HttpServerRequest call = new HttpServerRequest("POST", "/v1/groups/records/read", Map.of(),
				Map.of(RequestHeaders.PROFILE, SCHEDULING, RequestHeaders.TIMEOUT, "10"),
				"{}".getBytes(StandardCharsets.UTF_8), "c:1", System.nanoTime() - TimeUnit.SECONDS.toNanos(1));
		HttpServerResponse reply = this.handler.handle(call).join();
		TestChecks.checkEquals(504, reply.status());
		TestChecks.checkEquals("NOT_RUN", reply.headers().get("Magnolialead-Outcome"));
		TestChecks.checkTrue(this.dispatched.isEmpty(), this.dispatched::toString);
		TestChecks.checkEquals(1L, this.registry.counter("profile.scheduling.total").getCount());
		TestChecks.checkEquals(0L, this.registry.counter("profile.scheduling.within-deadline").getCount());
	}

	/**
	 * Guards against permits that are not released when a request fails, and against
	 * overload rejections without a retry time.
	 */
	@Test
	void overloadRejectionsStateRetryTime() throws Exception {
		int acquired = 0;
		while (this.admission.tryAcquire(Rank.STANDARD)) {
			acquired++;
		}
		HttpResponse<String> rejected = send(read());
		TestChecks.checkEquals(503, rejected.statusCode());
		TestChecks.checkTrue(rejected.body().contains("OVERLOADED"), rejected::body);
		TestChecks.checkEquals("1", header(rejected, "Retry-After"));
		TestChecks.checkEquals("500", header(rejected, "Magnolialead-Retry-After-Milliseconds"));
		for (; acquired > 0; acquired--) {
			this.admission.release(Rank.STANDARD);
		}
		this.answer = CompletableFuture
			.failedFuture(new MagnolialeadException(ErrorCode.NO_ANSWER, Step.FORWARD, "d2", "lost"));
		for (int count = 0; count < 30; count++) {
			HttpResponse<String> lost = send(read());
			TestChecks.checkEquals(504, lost.statusCode());
			TestChecks.checkTrue(lost.body().contains("\"step\":\"FORWARD\",\"peer\":\"d2\",\"outcome\":\"UNKNOWN\""),
					lost::body);
		}
	}

	/**
	 * Guards against lost announcements and requests that are missing from the metrics.
	 */
	@Test
	void announcementsAndMetricsAreServed() throws Exception {
		MemberDescription member = new MemberDescription("records", "m1", "127.0.0.1:9", "Hanoi 1", 2, 20, true);
		String body = "{\"group\":\"records\",\"member\":\"m1\",\"address\":\"127.0.0.1:9\","
				+ "\"availabilityZone\":\"Hanoi 1\",\"slots\":2,\"connectionLimit\":20,\"leaving\":true}";
		TestChecks.checkEquals(202, send(post("/v1/announcements", body, "")).statusCode());
		TestChecks.checkEquals(List.of(member), new ArrayList<>(this.announced));
		send(read());
		String metrics = send(request("/metrics").GET()).body();
		TestChecks.checkTrue(metrics.contains("\"requests.STANDARD.DONE\":1"), () -> metrics);
		TestChecks.checkTrue(metrics.contains("\"profile.scheduling.within-deadline\":1"), () -> metrics);
	}

	/**
	 * Guards against service levels that omit requests rejected without a lease, count
	 * malformed requests, or count a stored answer as a write.
	 */
	@Test
	void serviceLevelsCountWhatCallersGot() throws Exception {
		this.answer = CompletableFuture.completedFuture(
				ExecuteAnswer.done("{}".getBytes(StandardCharsets.UTF_8), 3, new LogPosition(3, 8), "m2", true, ""));
		send(read());
		send(post("/v1/groups/records/write", "{}", SCHEDULING).header(RequestHeaders.IDEMPOTENCY_KEY, "k1"));
		this.answer = CompletableFuture.completedFuture(this.answer.get().asRepeated());
		send(post("/v1/groups/records/write", "{}", SCHEDULING).header(RequestHeaders.IDEMPOTENCY_KEY, "k1"));
		send(read().header(RequestHeaders.TIMEOUT, "soon"));
		this.clockOffset.set(2 * LEASE_NANOSECONDS);
		send(post("/v1/groups/records/write", "{}", SCHEDULING).header(RequestHeaders.IDEMPOTENCY_KEY, "k2"));
		byte[] body = send(request("/metrics/service-levels").GET()).body().getBytes(StandardCharsets.UTF_8);
		ServiceLevelSnapshot snapshot = new ObjectMapper().readValue(body, ServiceLevelSnapshot.class);
		RequestSlot sum = snapshot.profiles()
			.get(0)
			.fiveMinutes()
			.stream()
			.reduce(new RequestSlot(0, 0, 0, 0, 0, 0, 0), RequestSlot::plus);
		TestChecks.checkEquals(new RequestSlot(0, 3, 1, 0, 3, 1, 1), sum);
		List<WriteSlot> writes = snapshot.groups().get(0).fiveMinutes();
		TestChecks.checkEquals(1L, writes.stream().mapToLong(WriteSlot::acknowledged).sum());
		TestChecks.checkEquals(2L, writes.stream().mapToLong(WriteSlot::notAcknowledged).sum());
	}

	private CompletableFuture<ExecuteAnswer> dispatch(ExecuteRequest request, long deadline) {
		this.dispatched.add(request);
		return this.answer;
	}

	private HttpRequest.Builder read() {
		return post("/v1/groups/records/read", "{}", SCHEDULING);
	}

	private HttpRequest.Builder post(String path, String body, String profile) {
		HttpRequest.Builder request = request(path).POST(HttpRequest.BodyPublishers.ofString(body));
		return profile.isEmpty() ? request : request.header(RequestHeaders.PROFILE, profile);
	}

	private HttpRequest.Builder request(String path) {
		return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.server.port() + path));
	}

	private HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	private static String header(HttpResponse<String> response, String name) {
		return response.headers().firstValue(name).orElse("");
	}

	private record Rejection(ErrorCode code, HttpRequest.Builder request) {
	}

}
