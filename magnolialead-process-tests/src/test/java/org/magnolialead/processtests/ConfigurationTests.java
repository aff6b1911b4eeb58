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
import org.magnolialead.testsupport.fleet.FleetOptions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Concurrent configuration changes while control and entry daemons fail. Guards against
 * accepted changes that are lost, reverted or not applied by every daemon.
 */
class ConfigurationTests {

	private static TestFleet testFleet;

	private static ControlClient controlClient;

	@BeforeAll
	static void start() {
		testFleet = TestFleet.start(FleetOptions.small(), false);
		controlClient = new ControlClient(testFleet);
	}

	@AfterAll
	static void stop() {
		controlClient.close();
		testFleet.close();
	}

	@AfterEach
	void restore() {
		testFleet.restore();
	}

	/**
	 * Guards against two changes that are both accepted for the same version, and against
	 * a retry that is applied again or answered differently.
	 */
	@Test
	void operatorsRaceWithEqualVersions() {
		for (int round = 0; round < 20; round++) {
			long version = controlClient.configurationVersion();
			String run = "race-" + round;
			List<CompletableFuture<CommandResult>> submissions = new ArrayList<>();
			for (String name : List.of("a", "b")) {
				submissions.add(CompletableFuture.supplyAsync(() -> controlClient
					.submit(ControlClient.putProfile(run + name, version, "raced", version + 1_000))));
			}
			List<CommandResult> results = submissions.stream().map(CompletableFuture::join).toList();
			assertThat(results).as("accepted changes").filteredOn(CommandResult::isAccepted).hasSize(1);
			assertThat(results).filteredOn((result) -> result.error() == ErrorCode.VERSION_CONFLICT).hasSize(1);
			assertThat(controlClient.configurationVersion()).isEqualTo(version + 1);
			CommandResult resent = controlClient
				.submit(ControlClient.putProfile(run + "a", version, "raced", version + 1_000));
			assertThat(resent).as("result of the retry").isEqualTo(results.get(0));
			assertThat(controlClient.configurationVersion()).isEqualTo(version + 1);
		}
		System.out.println(
				"concurrent operators, seed " + TestFleet.SEED + ": version " + controlClient.configurationVersion());
	}

	/**
	 * Guards against a new leader that does not know an accepted change, or applies a
	 * retry of it again.
	 */
	@Test
	void leaderKilledBetweenChangeAndResend() {
		long version = controlClient.configurationVersion();
		CommandResult first = controlClient.submit(ControlClient.putProfile("lost-answer", version, "kept", 4_000));
		CommandResult conflicting = controlClient.submit(ControlClient.putProfile("lost-race", version, "kept", 5_000));
		assertThat(first.isAccepted()).isTrue();
		assertThat(conflicting.error()).isEqualTo(ErrorCode.VERSION_CONFLICT);
		String leader = testFleet.fleet().leader().orElseThrow();
		testFleet.fleet().process(leader).kill();
		assertThat(controlClient.submit(ControlClient.putProfile("lost-answer", version, "kept", 4_000)))
			.isEqualTo(first);
		assertThat(controlClient.submit(ControlClient.putProfile("lost-race", version, "kept", 5_000)).error())
			.isEqualTo(ErrorCode.VERSION_CONFLICT);
		assertThat(controlClient.configurationVersion()).isEqualTo(version + 1);
		awaitApplied(version + 1);
	}

	/**
	 * Guards against a daemon that, after having been frozen, serves requests with
	 * profiles that were changed meanwhile, and against versions that decrease.
	 */
	@Test
	void frozenDaemonServesOnlyWithLatestProfiles() {
		long version = controlClient.configurationVersion();
		assertThat(controlClient.submit(ControlClient.putProfile("retired", version++, "retired", 3_000)).isAccepted())
			.isTrue();
		awaitApplied(version);
		String frozen = testFleet.entryOtherThan(testFleet.owner());
		String address = testFleet.fleet().httpAddress(frozen);
		assertThat(testFleet.client().send(address, Request.read("retired", "settled")).isDone()).isTrue();
		AtomicBoolean polling = new AtomicBoolean(true);
		List<String> regressions = new CopyOnWriteArrayList<>();
		CompletableFuture<Void> poller = CompletableFuture.runAsync(() -> pollVersions(polling, regressions));
		testFleet.fleet().process(frozen).freeze();
		for (int change = 0; change < 300; change++) {
			String id = "frozen-" + change;
			CommandResult result = (change == 250)
					? controlClient.submit(ControlClient.removeProfile(id, version, "retired"))
					: controlClient.submit(ControlClient.putProfile(id, version, "changing", 1_000 + change));
			assertThat(result.isAccepted()).as(result.message()).isTrue();
			version++;
		}
		long last = version;
		testFleet.fleet()
			.await("the change to be applied by the other daemon", () -> appliedVersion(testFleet.owner()) == last);
		// The frozen daemon may serve requests with its old view until its lease expires.
		testFleet.fleet()
			.await("the lease of the frozen daemon to expire",
					() -> testFleet.leaderView()
						.filter((response) -> !response.view().daemons().containsKey(frozen))
						.isPresent());
		// These requests wait in the socket buffers of the frozen daemon, which
		// processes them first.
		List<CompletableFuture<Response>> retired = new ArrayList<>();
		List<CompletableFuture<Response>> current = new ArrayList<>();
		for (int i = 0; i < 10; i++) {
			retired.add(testFleet.client()
				.sendAsync(address, Request.read("retired", "settled").timeoutMilliseconds(9_000)));
			current.add(testFleet.client()
				.sendAsync(address, Request.read("changing", "settled").timeoutMilliseconds(9_000)));
		}
		testFleet.fleet().process(frozen).resume();
		for (int i = 0; i < 100; i++) {
			retired.add(testFleet.client().sendAsync(address, Request.read("retired", "settled")));
			Sleep.forMilliseconds(5);
		}
		awaitApplied(last);
		retired.forEach((response) -> assertThat(response.join().isDone()).as("response " + response.join()).isFalse());
		current.forEach(
				(response) -> assertThat(response.join().body().path("code").asText()).as("response " + response.join())
					.isNotEqualTo("UNKNOWN_PROFILE"));
		assertThat(testFleet.client().send(address, Request.read("changing", "settled")).isDone()).isTrue();
		polling.set(false);
		poller.join();
		assertThat(regressions).as("versions that decreased").isEmpty();
		System.out.println("frozen daemon, seed %d: version %d applied, first responses %s and %s"
			.formatted(TestFleet.SEED, last, retired.get(0).join(), current.get(0).join()));
	}

	private static void awaitApplied(long version) {
		testFleet.fleet()
			.await("version %d to be applied".formatted(version),
					() -> testFleet.fleet().entryNames().stream().allMatch((name) -> appliedVersion(name) == version));
	}

	private static long appliedVersion(String entry) {
		return readGauge(entry, "view.configuration_version");
	}

	private static long readGauge(String entry, String name) {
		JsonNode metrics = testFleet.client().get(testFleet.fleet().httpAddress(entry), "/metrics");
		return metrics.path("gauges").path(name).path("value").asLong(-1);
	}

	private static void pollVersions(AtomicBoolean polling, List<String> regressions) {
		List<VersionGauge> gauges = testFleet.fleet()
			.entryNames()
			.stream()
			.flatMap((entry) -> List
				.of(new VersionGauge(entry, "view.version"), new VersionGauge(entry, "view.configuration_version"))
				.stream())
			.toList();
		while (polling.get()) {
			gauges.forEach((gauge) -> gauge.poll(regressions));
			Sleep.forMilliseconds(5);
		}
	}

	/**
	 * Version gauge of a daemon, which must not decrease.
	 */
	private static final class VersionGauge {

		private final String entry;

		private final String name;

		private long highest;

		VersionGauge(String entry, String name) {
			this.entry = entry;
			this.name = name;
		}

		void poll(List<String> regressions) {
			long value;
			try {
				value = readGauge(this.entry, this.name);
			}
			catch (UncheckedIOException ex) {
				return;
			}
			if (value < this.highest) {
				regressions.add("%s of %s from %d to %d".formatted(this.name, this.entry, this.highest, value));
			}
			this.highest = value;
		}

	}

}
