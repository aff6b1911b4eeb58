package org.magnolialead.processtests;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.testsupport.fleet.FleetShape;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Configuration changes of several operators while control and entry daemons fail. Guards
 * against accepted changes that are lost, revert or are not in force everywhere.
 */
class ConfigurationTests {

	private static TestFleet test;

	private static Operator operator;

	@BeforeAll
	static void start() {
		test = TestFleet.start(FleetShape.small(), false);
		operator = new Operator(test);
	}

	@AfterAll
	static void stop() {
		operator.close();
		test.close();
	}

	@AfterEach
	void restore() {
		test.restore();
	}

	/**
	 * Guards against two changes that are both accepted for one version, and against a
	 * resend that is applied again or answered differently.
	 */
	@Test
	void operatorsRaceWithEqualVersions() {
		for (int round = 0; round < 20; round++) {
			long version = operator.version();
			String run = "race-" + round;
			List<CompletableFuture<CommandResult>> racing = new ArrayList<>();
			for (String name : List.of("a", "b")) {
				racing.add(CompletableFuture
					.supplyAsync(() -> operator.submit(Operator.put(run + name, version, "raced", version + 1_000))));
			}
			List<CommandResult> results = racing.stream().map(CompletableFuture::join).toList();
			assertThat(results).as("winners").filteredOn(CommandResult::isAccepted).hasSize(1);
			assertThat(results).filteredOn((result) -> result.error() == ErrorCode.VERSION_CONFLICT).hasSize(1);
			assertThat(operator.version()).isEqualTo(version + 1);
			CommandResult resent = operator.submit(Operator.put(run + "a", version, "raced", version + 1_000));
			assertThat(resent).as("answer to the resend").isEqualTo(results.get(0));
			assertThat(operator.version()).isEqualTo(version + 1);
		}
		System.out.println("racing operators, seed " + TestFleet.SEED + ": version " + operator.version());
	}

	/**
	 * Guards against a new leader that does not know an accepted change or applies its
	 * resend again.
	 */
	@Test
	void leaderKilledBetweenChangeAndResend() {
		long version = operator.version();
		CommandResult first = operator.submit(Operator.put("lost-answer", version, "kept", 4_000));
		CommandResult loser = operator.submit(Operator.put("lost-race", version, "kept", 5_000));
		assertThat(first.isAccepted()).isTrue();
		assertThat(loser.error()).isEqualTo(ErrorCode.VERSION_CONFLICT);
		String leader = test.fleet().leader().orElseThrow();
		test.fleet().process(leader).kill();
		assertThat(operator.submit(Operator.put("lost-answer", version, "kept", 4_000))).isEqualTo(first);
		assertThat(operator.submit(Operator.put("lost-race", version, "kept", 5_000)).error())
			.isEqualTo(ErrorCode.VERSION_CONFLICT);
		assertThat(operator.version()).isEqualTo(version + 1);
		awaitInForce(version + 1);
	}

	/**
	 * Guards against a daemon that continues with profiles that were changed while it was
	 * frozen, and against versions that go back.
	 */
	@Test
	void frozenDaemonServesOnlyWithLatestProfiles() {
		long version = operator.version();
		assertThat(operator.submit(Operator.put("retired", version++, "retired", 3_000)).isAccepted()).isTrue();
		awaitInForce(version);
		String frozen = test.otherEntry(test.owner());
		String address = test.fleet().httpAddress(frozen);
		assertThat(test.caller().send(address, Call.read("retired", "settled")).isDone()).isTrue();
		AtomicBoolean watching = new AtomicBoolean(true);
		List<String> wentBack = new CopyOnWriteArrayList<>();
		CompletableFuture<Void> watch = CompletableFuture.runAsync(() -> watchVersions(watching, wentBack));
		test.fleet().process(frozen).freeze();
		for (int change = 0; change < 300; change++) {
			String id = "frozen-" + change;
			CommandResult result = (change == 250) ? operator.submit(Operator.remove(id, version, "retired"))
					: operator.submit(Operator.put(id, version, "changing", 1_000 + change));
			assertThat(result.isAccepted()).as(result.message()).isTrue();
			version++;
		}
		long last = version;
		test.fleet().await("the change to be in force at the others", () -> versionOf(test.owner()) == last);
		// Until its lease expires, the frozen daemon may serve with the view that it has.
		test.fleet()
			.await("the lease of the frozen daemon to expire",
					() -> test.leaderView()
						.filter((answer) -> !answer.view().daemons().containsKey(frozen))
						.isPresent());
		// Requests that wait in the sockets of the frozen daemon are the first that it
		// sees.
		List<CompletableFuture<Answer>> retired = new ArrayList<>();
		List<CompletableFuture<Answer>> current = new ArrayList<>();
		for (int i = 0; i < 10; i++) {
			retired.add(test.caller().sendAsync(address, Call.read("retired", "settled").timeoutMilliseconds(9_000)));
			current.add(test.caller().sendAsync(address, Call.read("changing", "settled").timeoutMilliseconds(9_000)));
		}
		test.fleet().process(frozen).resume();
		for (int i = 0; i < 100; i++) {
			retired.add(test.caller().sendAsync(address, Call.read("retired", "settled")));
			Pause.milliseconds(5);
		}
		awaitInForce(last);
		retired.forEach((answer) -> assertThat(answer.join().isDone()).as("answer " + answer.join()).isFalse());
		current.forEach((answer) -> assertThat(answer.join().body().path("code").asText()).as("answer " + answer.join())
			.isNotEqualTo("UNKNOWN_PROFILE"));
		assertThat(test.caller().send(address, Call.read("changing", "settled")).isDone()).isTrue();
		watching.set(false);
		watch.join();
		assertThat(wentBack).as("versions that went back").isEmpty();
		System.out.println("frozen daemon, seed %d: version %d in force, first answers %s and %s"
			.formatted(TestFleet.SEED, last, retired.get(0).join(), current.get(0).join()));
	}

	private static void awaitInForce(long version) {
		test.fleet()
			.await("version %d to be in force".formatted(version),
					() -> test.fleet().entryNames().stream().allMatch((name) -> versionOf(name) == version));
	}

	private static long versionOf(String entry) {
		return gauge(entry, "view.configuration_version");
	}

	private static long gauge(String entry, String name) {
		JsonNode metrics = test.caller().get(test.fleet().httpAddress(entry), "/metrics");
		return metrics.path("gauges").path(name).path("value").asLong(-1);
	}

	private static void watchVersions(AtomicBoolean watching, List<String> wentBack) {
		List<Watched> watched = test.fleet()
			.entryNames()
			.stream()
			.flatMap((entry) -> List
				.of(new Watched(entry, "view.version"), new Watched(entry, "view.configuration_version"))
				.stream())
			.toList();
		while (watching.get()) {
			watched.forEach((each) -> each.look(wentBack));
			Pause.milliseconds(5);
		}
	}

	/**
	 * Version of a daemon that must not go back.
	 */
	private static final class Watched {

		private final String entry;

		private final String name;

		private long greatest;

		Watched(String entry, String name) {
			this.entry = entry;
			this.name = name;
		}

		void look(List<String> wentBack) {
			long found;
			try {
				found = gauge(this.entry, this.name);
			}
			catch (UncheckedIOException ex) {
				return;
			}
			if (found < this.greatest) {
				wentBack.add("%s of %s from %d to %d".formatted(this.name, this.entry, this.greatest, found));
			}
			this.greatest = found;
		}

	}

}
