package org.magnolialead.processtests;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnolialead.testsupport.fleet.FleetOptions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Idempotent requests, read-your-writes consistency of sessions, and responses of members
 * that are swapped, delayed, duplicated or lost.
 */
class OnceAndSessionTests {

	private static TestFleet testFleet;

	private final Random random = new Random(TestFleet.SEED);

	@BeforeAll
	static void start() {
		testFleet = TestFleet.start(FleetOptions.small(), false);
	}

	@AfterAll
	static void stop() {
		testFleet.close();
	}

	@AfterEach
	void restore() {
		for (String member : testFleet.fleet().memberNames()) {
			testFleet.controlStandIn(member, "lag?milliseconds=5");
			testFleet.controlStandIn(member, "service-time?read=2&write=3");
			testFleet.controlStandIn(member, "drop-answers?count=0");
			testFleet.controlStandIn(member, "swap-answers?count=0");
			testFleet.controlStandIn(member, "duplicate-answers?count=0");
			testFleet.controlStandIn(member, "answer-delay?count=0");
		}
		testFleet.restore();
	}

	/**
	 * Guards against a second execution by a new owner: the old owner is killed after it
	 * has sent the statement and before it receives the response. The delay before the
	 * kill varies, so that some statements have been executed and others have not.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 100, 900 })
	void ownerKilledDuringNonRepeatableRequests(int killDelayMilliseconds) {
		String owner = testFleet.owner();
		String other = testFleet.fleet().httpAddress(testFleet.entryOtherThan(owner));
		testFleet.controlStandIn(testFleet.primary(), "service-time?read=2&write=400");
		List<String> keys = new ArrayList<>();
		List<CompletableFuture<Response>> first = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			String key = "once-" + killDelayMilliseconds + "-" + i;
			keys.add(key);
			String address = (i % 2 == 0) ? other : testFleet.fleet().httpAddress(owner);
			first.add(testFleet.client().sendAsync(address, confirmationRequest(key, 20_000)));
		}
		Sleep.forMilliseconds(killDelayMilliseconds);
		testFleet.fleet().process(owner).kill();
		testFleet.controlStandIn(testFleet.primary(), "service-time?read=2&write=3");
		for (int i = 0; i < keys.size(); i++) {
			String key = keys.get(i);
			Optional<Response> firstResponse = responseOf(first.get(i));
			Response resent = resendUntilAnswered(other, key);
			int executed = testFleet.executions(key).size();
			System.out.println("%s, seed %d: first %s, resent %s%s, executed %d".formatted(key, TestFleet.SEED,
					firstResponse.map(Response::outcome).orElse("lost"), resent.outcome(),
					resent.isReplayed() ? " (replayed)" : "", executed));
			assertExecutedAtMostOnce(key, firstResponse, resent, executed);
		}
	}

	/**
	 * Guards against a second execution after the response of the member was lost: the
	 * statement was executed, but neither the daemon nor the client knows.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void responseOfMemberIsLost(boolean closesConnection) {
		String key = "dropped-" + closesConnection;
		testFleet.controlStandIn(testFleet.primary(), "drop-answers?count=1&close=" + closesConnection);
		String owner = testFleet.owner();
		Response first = testFleet.client().send(testFleet.fleet().httpAddress(owner), confirmationRequest(key, 1_000));
		Response resent = testFleet.client()
			.send(testFleet.fleet().httpAddress(testFleet.entryOtherThan(owner)), confirmationRequest(key, 1_000));
		System.out.println("%s, seed %d: first %s, resent %s".formatted(key, TestFleet.SEED, first, resent));
		assertThat(first.outcome()).isEqualTo("UNKNOWN");
		assertExecutedAtMostOnce(key, Optional.of(first), resent, testFleet.executions(key).size());
		assertThat(testFleet.executions(key)).hasSize(1);
	}

	/**
	 * Guards against a write that is executed twice for one request because its first
	 * response was lost. A repeatable profile allows the client to retry the write, but
	 * not the daemon to execute it again on its own.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void responseToRepeatableWriteIsLost(boolean closesConnection) {
		String key = "repeatable-" + closesConnection;
		testFleet.controlStandIn(testFleet.primary(), "drop-answers?count=1&close=" + closesConnection);
		Response response = testFleet.client()
			.send(testFleet.fleet().httpAddress(testFleet.owner()),
					Request.increment("scheduling", key).timeoutMilliseconds(3_000));
		System.out.println("%s, seed %d: %s".formatted(key, TestFleet.SEED, response));
		assertThat(testFleet.executions(key)).hasSize(1);
		assertThat(response.outcome()).isEqualTo("UNKNOWN");
	}

	/**
	 * Guards against a retry that is not answered with the recorded response after the
	 * client lost the first one: any daemon returns the same response, including a later
	 * owner.
	 */
	@Test
	void finishedRequestIsRepeatedAfterOwnerWasKilled() {
		String owner = testFleet.owner();
		String other = testFleet.fleet().httpAddress(testFleet.entryOtherThan(owner));
		Response first = testFleet.client().send(other, confirmationRequest("finished", 5_000));
		assertThat(first.isDone()).isTrue();
		// The result is recorded after the response has been sent, so the owner must run
		// until then.
		testFleet.fleet().await("the result to be recorded", () -> isResultRecorded(owner));
		testFleet.fleet().process(owner).kill();
		Response resent = resendUntilAnswered(other, "finished");
		assertThat(resent.isDone()).as("resent: " + resent).isTrue();
		assertThat(resent.isReplayed()).isTrue();
		assertThat(resent.body()).isEqualTo(first.body());
		assertThat(testFleet.executions("finished")).hasSize(1);
	}

	/**
	 * Guards against reads through another daemon that do not return the last write of
	 * the session, with an older session token and without one, while replicas are 1 s
	 * behind.
	 */
	@Test
	void ownWriteIsReadThroughAnotherDaemonUnderLag() {
		testFleet.fleet().memberNames().forEach((member) -> testFleet.controlStandIn(member, "lag?milliseconds=1000"));
		for (int i = 0; i < 12; i++) {
			assertReadsOwnWrite("lag-" + i, false);
		}
	}

	/**
	 * Guards against reads through a new owner that do not return the last write of the
	 * session; the new owner does not know the sessions of the old one.
	 */
	@Test
	void ownWriteIsReadAfterOwnerWasKilledUnderLag() {
		// The lag exceeds the time until a new owner serves requests, about 4 s, so that
		// the replicas still lag behind at that point.
		testFleet.fleet().memberNames().forEach((member) -> testFleet.controlStandIn(member, "lag?milliseconds=12000"));
		assertReadsOwnWrite("owner-killed", true);
	}

	/**
	 * Guards against responses that are delivered to another client when a member swaps,
	 * delays, duplicates or loses them.
	 */
	@Test
	void clientsReceiveTheirOwnResponses() {
		List<String> faults = List.of("swap-answers?count=10", "duplicate-answers?count=10",
				"answer-delay?milliseconds=150&count=10", "drop-answers?count=4&close=false");
		List<CompletableFuture<Void>> checks = new ArrayList<>();
		for (int i = 0; i < 240; i++) {
			if (i % 20 == 0) {
				String member = testFleet.fleet().memberNames().get(this.random.nextInt(3));
				testFleet.controlStandIn(member, faults.get(this.random.nextInt(faults.size())));
			}
			String value = "own-" + i;
			String address = testFleet.fleet().httpAddress(testFleet.fleet().entryNames().get(i % 2));
			Request request = Request.put("scheduling", "answer-" + i, value).timeoutMilliseconds(3_000);
			checks.add(testFleet.client().sendAsync(address, request).thenAccept((response) -> {
				if (response.isDone()) {
					assertThat(response.body().path("value").asText()).isEqualTo(value);
				}
			}));
			Sleep.forMilliseconds(5);
		}
		checks.forEach(CompletableFuture::join);
	}

	/**
	 * Guards against statements of one transaction that are sent on the connection of
	 * another transaction, with statements through both daemons and faulty responses of
	 * the member.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "none", "swap-answers?count=3", "duplicate-answers?count=3",
			"answer-delay?milliseconds=200&count=3" })
	void interleavedTransactionsAreNotMixed(String fault) {
		String run = "transaction-" + fault.replaceAll("[^a-z]", "");
		List<String> entries = testFleet.fleet().entryNames().stream().map(testFleet.fleet()::httpAddress).toList();
		String[] transactions = new String[2];
		Boolean[] committed = new Boolean[2];
		for (int i = 0; i < 2; i++) {
			transactions[i] = testFleet.client().send(entries.get(i), Request.begin("scheduling")).transaction();
			assertThat(transactions[i]).isNotEmpty();
		}
		if (!fault.equals("none")) {
			testFleet.controlStandIn(testFleet.primary(), fault);
		}
		boolean[] failed = new boolean[2];
		for (int step = 0; step < 6; step++) {
			int i = step % 2;
			String value = "caller-" + i + "-" + step;
			String body = "{\"operation\":\"append\",\"key\":\"%s-%d\",\"value\":\"%s\"}".formatted(run, i, value);
			// The statements of each transaction alternate between the daemons.
			Response response = testFleet.client()
				.send(entries.get((step / 2) % 2), Request.inTransaction(transactions[i], "scheduling", body));
			failed[i] |= !response.isDone();
			if (response.isDone()) {
				assertThat(response.body().path("length").asInt()).as("length in the response to this request")
					.isEqualTo(step / 2 + 1);
			}
		}
		for (int i = 0; i < 2; i++) {
			Response commit = testFleet.client()
				.send(entries.get(1 - i), Request.commit(transactions[i], "scheduling"));
			committed[i] = commit.isDone();
			assertThat(committed[i] && failed[i]).as("commit of a transaction that failed").isFalse();
		}
		System.out.println(run + ", seed " + TestFleet.SEED + ": committed " + List.of(committed));
		for (int i = 0; i < 2; i++) {
			assertTransactionAtomic(run + "-" + i, "caller-" + i + "-", committed[i], fault.equals("none"));
		}
	}

	private static void assertTransactionAtomic(String key, String prefix, boolean committed, boolean commitExpected) {
		List<JsonNode> executions = testFleet.executions(key);
		Set<String> indexes = new HashSet<>();
		for (JsonNode execution : executions) {
			assertThat(execution.path("value").asText()).startsWith(prefix);
			indexes.add(execution.path("term") + "/" + execution.path("index"));
		}
		if (committed) {
			assertThat(executions).as(key).hasSize(3);
			assertThat(indexes).as("log records of one transaction").hasSize(1);
		}
		if (commitExpected) {
			assertThat(committed).isTrue();
		}
	}

	private void assertReadsOwnWrite(String name, boolean killOwner) {
		String owner = testFleet.owner();
		String first = testFleet.fleet().httpAddress(killOwner ? testFleet.entryOtherThan(owner) : owner);
		String second = testFleet.fleet().httpAddress(testFleet.entryOtherThan(owner));
		String key = name + "-key";
		Response old = testFleet.client().send(first, Request.put("scheduling", key, "old").session(name));
		Response written = testFleet.client().send(first, Request.put("scheduling", key, "new").session(name));
		assertThat(written.isDone()).as("write: " + written).isTrue();
		if (killOwner) {
			testFleet.fleet().process(owner).kill();
		}
		for (String token : List.of("", old.token(), written.token())) {
			for (String profile : List.of("scheduling", "browsing")) {
				Request request = Request.read(profile, key).session(name).token(token).timeoutMilliseconds(12_000);
				Response read = testFleet.client().send(second, request);
				assertThat(read.isDone()).as("read: " + read).isTrue();
				assertThat(read.body().path("value").asText()).as("read of profile %s by %s", profile, read.member())
					.isEqualTo("new");
			}
		}
	}

	private static void assertExecutedAtMostOnce(String key, Optional<Response> first, Response resent, int executed) {
		assertThat(executed).as("executions of " + key).isLessThanOrEqualTo(1);
		assertThat(resent.outcome()).isIn("DONE", "UNKNOWN");
		if (resent.isDone()) {
			assertThat(executed).isEqualTo(1);
		}
		// If the first request was not run, its key is free, and the retry may be the
		// first execution.
		first.filter((response) -> response.outcome().equals("NOT_RUN"))
			.ifPresent((response) -> assertThat(resent.isReplayed()).isFalse());
		first.filter(Response::isDone).ifPresent((response) -> assertThat(executed).isEqualTo(1));
	}

	/**
	 * Retries a request until there is a response with an outcome other than NOT_RUN.
	 * @param address HTTP address of the daemon
	 * @param key idempotency key of the request
	 * @return the response
	 */
	private static Response resendUntilAnswered(String address, String key) {
		List<Response> responses = new ArrayList<>();
		testFleet.fleet().await("a response to the retry", () -> {
			Optional<Response> response = testFleet.client().trySend(address, confirmationRequest(key, 8_000));
			response.filter((received) -> !received.outcome().equals("NOT_RUN")).ifPresent(responses::add);
			return !responses.isEmpty();
		});
		return responses.get(0);
	}

	private static Request confirmationRequest(String key, long timeoutMilliseconds) {
		return Request.increment("confirmation", key).idempotencyKey(key).timeoutMilliseconds(timeoutMilliseconds);
	}

	private static Optional<Response> responseOf(CompletableFuture<Response> future) {
		try {
			return Optional.of(future.join());
		}
		catch (CompletionException ex) {
			return Optional.empty();
		}
	}

	private static boolean isResultRecorded(String owner) {
		Response resent = testFleet.client()
			.send(testFleet.fleet().httpAddress(owner), confirmationRequest("finished", 5_000));
		Sleep.forMilliseconds(300);
		return resent.isReplayed();
	}

}
