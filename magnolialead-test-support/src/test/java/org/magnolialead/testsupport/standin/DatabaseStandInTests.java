package org.magnolialead.testsupport.standin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.MemberRole;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against defects of the stand-in that would hide or imitate defects of
 * magnolialead.
 */
class DatabaseStandInTests {

	private final List<DatabaseStandIn> standIns = new ArrayList<>();

	private final HttpClient client = newClient();

	@AfterEach
	void closeStandIns() {
		this.standIns.forEach(DatabaseStandIn::close);
	}

	/**
	 * Guards against a replica that does not receive writes, or makes them visible to
	 * reads before the replication lag has passed.
	 */
	@Test
	void replicaReceivesWritesAtOnceAndAppliesThemAfterTheLag() throws Exception {
		DatabaseStandIn primary = start(primary("a"));
		DatabaseStandIn replica = start(replica("b", primary));
		post(replica, "/control/lag?milliseconds=60000", "");
		write(primary, "put", "k", "v1");
		JsonNode status = json(get(replica, "/status?least_term=1&least_index=1&wait_milliseconds=20000"));
		assertThat(status.at("/position/index").asLong()).isEqualTo(1);
		assertThat(read(replica, "k").isNull()).isTrue();
		post(replica, "/control/lag?milliseconds=0", "");
		assertThat(read(replica, "k").asText()).isEqualTo("v1");
	}

	/**
	 * Guards against two primaries in one term, and against a member that accepts an old
	 * term.
	 */
	@Test
	void membersRefuseTermsThatAreNotNewer() throws Exception {
		DatabaseStandIn primary = start(primary("a"));
		assertThat(post(primary, "/promote", "{\"term\":1}").statusCode()).isEqualTo(409);
		assertThat(post(primary, "/follow", "{\"term\":1,\"primary\":\"127.0.0.1:1\"}").statusCode()).isEqualTo(409);
		assertThat(post(primary, "/promote", "{\"term\":3}").statusCode()).isEqualTo(200);
		HttpResponse<String> refused = post(primary, "/follow", "{\"term\":2,\"primary\":\"127.0.0.1:1\"}");
		assertThat(refused.statusCode()).isEqualTo(409);
		assertThat(json(refused).path("term").asLong()).isEqualTo(3);
	}

	/**
	 * Guards against a promoted replica that loses received records, and against a former
	 * primary that keeps records which the new primary never received.
	 */
	@Test
	void formerPrimaryDropsRecordsThatTheNewPrimaryDoesNotHave() throws Exception {
		DatabaseStandIn former = start(primary("a"));
		DatabaseStandIn next = start(replica("b", former));
		post(next, "/control/lag?milliseconds=60000", "");
		write(former, "put", "shared", "1");
		get(next, "/status?least_term=1&least_index=1&wait_milliseconds=20000");
		post(next, "/control/pause-replication?paused=true", "");
		post(former, "/control/service-time?write=0", "");
		write(former, "put", "lost", "1");
		write(former, "increment", "lost-count", "");
		assertThat(post(next, "/promote", "{\"term\":2}").statusCode()).isEqualTo(200);
		assertThat(read(next, "shared").asText()).isEqualTo("1");
		write(next, "put", "new", "1");
		String follow = "{\"term\":2,\"primary\":\"" + next.address() + "\"}";
		assertThat(post(former, "/follow", follow).statusCode()).isEqualTo(200);
		await(() -> read(former, "new").asText().equals("1"));
		assertThat(read(former, "lost").isNull()).isTrue();
		assertThat(read(former, "lost-count").isNull()).isTrue();
		JsonNode history = json(get(former, "/control/history?key=lost"));
		assertThat(history.path("executed").size()).isEqualTo(1);
		assertThat(history.path("log").size()).isEqualTo(0);
		assertThat(sendWrite(former, "put", "k", "v").statusCode()).isEqualTo(409);
	}

	/**
	 * Guards against a restarted member with an empty log that never catches up.
	 */
	@Test
	void emptyMemberCopiesEverythingFromThePrimary() throws Exception {
		DatabaseStandIn primary = start(primary("a"));
		for (int i = 1; i <= 5; i++) {
			write(primary, "increment", "count", "");
		}
		DatabaseStandIn empty = start(withoutDelays(StandInSettings.of("g", "b")));
		post(empty, "/follow", "{\"term\":1,\"primary\":\"" + primary.address() + "\"}");
		await(() -> read(empty, "count").asLong() == 5);
	}

	/**
	 * Guards against control requests that do not inject the faults with which clients
	 * are tested.
	 */
	@Test
	void responsesAreLostSwappedAndDelayedOnDemand() throws Exception {
		DatabaseStandIn primary = start(primary("a"));
		write(primary, "put", "first", "1");
		post(primary, "/control/swap-answers?count=1", "");
		HttpResponse<String> swapped = execute(this.client, primary, "own-id", "read", "get", "other", "");
		assertThat(!swapped.headers().firstValue("X-Request-Id").orElse("").equals("own-id")).isTrue();
		assertThat(json(swapped).path("value").asText()).isEqualTo("1");
		post(primary, "/control/drop-answers?count=1&close=true", "");
		CompletableFuture<HttpResponse<String>> lost = newClient()
			.sendAsync(request(primary, "lost-id", "write", "increment", "count", ""), BodyHandlers.ofString());
		await(() -> executions(primary, "count") == 1);
		assertThat(lost.handle((response, failure) -> failure != null).join()).isTrue();
		post(primary, "/control/answer-delay?milliseconds=600000&count=1", "");
		CompletableFuture<HttpResponse<String>> late = newClient()
			.sendAsync(request(primary, "late-id", "write", "put", "late", "1"), BodyHandlers.ofString());
		await(() -> executions(primary, "late") == 1);
		assertThat(!late.isDone()).isTrue();
	}

	/**
	 * Guards against more concurrent statements than the member has slots.
	 */
	@Test
	void statementsBeyondTheSlotsWait() throws Exception {
		DatabaseStandIn primary = start(primary("a"));
		post(primary, "/control/service-time?read=50", "");
		List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			responses
				.add(this.client.sendAsync(request(primary, "r" + i, "read", "get", "k", ""), BodyHandlers.ofString()));
		}
		responses.forEach(CompletableFuture::join);
		JsonNode statistics = json(get(primary, "/control/statistics"));
		assertThat(statistics.path("mostRunning").asInt()).isEqualTo(2);
		assertThat(statistics.path("mostWaiting").asInt() >= 1).isTrue();
	}

	/**
	 * Guards against a connection limit that is not enforced, or that also applies to
	 * control requests of tests.
	 */
	@Test
	void connectionsBeyondTheLimitAreRefusedWithoutExecution() throws Exception {
		DatabaseStandIn primary = start(withoutDelays(primary("a").withCapacity(2, 1)));
		write(primary, "put", "k", "v");
		HttpClient second = newClient();
		HttpResponse<String> refused = execute(second, primary, "r2", "write", "put", "k", "w");
		assertThat(refused.statusCode()).isEqualTo(503);
		assertThat(read(primary, "k").asText()).isEqualTo("v");
		String statistics = second
			.send(HttpRequest.newBuilder(uri(primary, "/control/statistics")).build(), BodyHandlers.ofString())
			.body();
		assertThat(DatabaseStandIn.JSON.readTree(statistics).path("refusedConnections").asInt()).isEqualTo(1);
	}

	/**
	 * Guards against transactions that see statements of each other, whose writes are
	 * visible before the commit, or that outlive their connection.
	 */
	@Test
	void transactionsBelongToTheirConnection() throws Exception {
		DatabaseStandIn primary = start(primary("a"));
		try (RawConnection first = new RawConnection(primary.port());
				RawConnection second = new RawConnection(primary.port())) {
			first.post("/transactions/begin", "");
			second.post("/transactions/begin", "");
			first.post("/execute", statement("transaction", "put", "k", "first"));
			assertThat(second.post("/execute", statement("transaction", "get", "k", "")).contains("null")).isTrue();
			assertThat(first.post("/execute", statement("transaction", "get", "k", "")).contains("first")).isTrue();
			assertThat(read(primary, "k").isNull()).isTrue();
			assertThat(first.post("/transactions/commit", "").contains("200 OK")).isTrue();
			assertThat(read(primary, "k").asText()).isEqualTo("first");
			second.post("/execute", statement("transaction", "put", "k", "second"));
		}
		await(() -> {
			JsonNode statistics = json(get(primary, "/control/statistics"));
			return statistics.path("connections").asInt() <= 1;
		});
		assertThat(read(primary, "k").asText()).isEqualTo("first");
	}

	private static HttpClient newClient() {
		return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
	}

	private DatabaseStandIn start(StandInSettings settings) {
		DatabaseStandIn standIn = new DatabaseStandIn(settings).start();
		this.standIns.add(standIn);
		return standIn;
	}

	private static StandInSettings withoutDelays(StandInSettings settings) {
		return settings.withDelays(0, 0, 0, 0);
	}

	private static StandInSettings primary(String member) {
		return withoutDelays(StandInSettings.of("g", member)).withRole(MemberRole.PRIMARY, 1, "");
	}

	private static StandInSettings replica(String member, DatabaseStandIn primary) {
		return withoutDelays(StandInSettings.of("g", member)).withRole(MemberRole.REPLICA, 1, primary.address());
	}

	private static URI uri(DatabaseStandIn standIn, String target) {
		return URI.create("http://" + standIn.address() + target);
	}

	private static String statement(String kind, String operation, String key, String value) {
		return "{\"kind\":\"%s\",\"statement\":{\"operation\":\"%s\",\"key\":\"%s\",\"value\":\"%s\"}}".formatted(kind,
				operation, key, value);
	}

	private static HttpRequest request(DatabaseStandIn standIn, String id, String kind, String operation, String key,
			String value) {
		return HttpRequest.newBuilder(uri(standIn, "/execute"))
			.header("X-Request-Id", id)
			.timeout(Duration.ofSeconds(60))
			.POST(BodyPublishers.ofString(statement(kind, operation, key, value)))
			.build();
	}

	private static HttpResponse<String> execute(HttpClient sender, DatabaseStandIn standIn, String id, String kind,
			String operation, String key, String value) throws Exception {
		return sender.send(request(standIn, id, kind, operation, key, value), BodyHandlers.ofString());
	}

	private HttpResponse<String> sendWrite(DatabaseStandIn standIn, String operation, String key, String value)
			throws Exception {
		return execute(this.client, standIn, "w-" + key, "write", operation, key, value);
	}

	private void write(DatabaseStandIn standIn, String operation, String key, String value) throws Exception {
		HttpResponse<String> response = sendWrite(standIn, operation, key, value);
		assertThat(response.statusCode()).withFailMessage(() -> response.body()).isEqualTo(200);
	}

	private int executions(DatabaseStandIn standIn, String key) {
		return json(get(standIn, "/control/history?key=" + key)).path("executed").size();
	}

	private JsonNode read(DatabaseStandIn standIn, String key) {
		try {
			return json(execute(this.client, standIn, "r-" + key, "read", "get", key, "")).path("value");
		}
		catch (Exception ex) {
			throw new IllegalStateException("read of " + key + " failed", ex);
		}
	}

	private HttpResponse<String> post(DatabaseStandIn standIn, String target, String body) throws Exception {
		return this.client.send(
				HttpRequest.newBuilder(uri(standIn, target)).POST(BodyPublishers.ofString(body)).build(),
				BodyHandlers.ofString());
	}

	private HttpResponse<String> get(DatabaseStandIn standIn, String target) {
		try {
			return this.client.send(HttpRequest.newBuilder(uri(standIn, target)).build(), BodyHandlers.ofString());
		}
		catch (Exception ex) {
			throw new IllegalStateException("request " + target + " failed", ex);
		}
	}

	private static JsonNode json(HttpResponse<String> response) {
		try {
			return DatabaseStandIn.JSON.readTree(response.body());
		}
		catch (Exception ex) {
			throw new IllegalStateException("not JSON: " + response.body(), ex);
		}
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		while (!condition.getAsBoolean()) {
			Thread.sleep(5);
		}
	}

}
