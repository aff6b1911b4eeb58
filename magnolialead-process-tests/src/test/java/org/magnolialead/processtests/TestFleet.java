package org.magnolialead.processtests;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.message.ViewAnswer;
import org.magnolialead.ctl.load.LoadGenerator;
import org.magnolialead.ctl.load.LoadMix;
import org.magnolialead.ctl.load.LoadReport;
import org.magnolialead.ctl.load.LoadSettings;
import org.magnolialead.testsupport.fleet.Fleet;
import org.magnolialead.testsupport.fleet.FleetOptions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Fleet with one database group and the operations that the tests need.
 */
final class TestFleet implements AutoCloseable {

	/** Seed of the random number generators of the tests. */
	static final long SEED = Long.getLong("magnolialead.seed", 20_261_204L);

	static final String GROUP = Request.GROUP;

	private final Fleet fleet;

	private final EntryClient client = new EntryClient();

	private TestFleet(Fleet fleet) {
		this.fleet = fleet;
	}

	static TestFleet start(FleetOptions options, boolean proxied) {
		System.out.println("seed " + SEED);
		try {
			Path folder = Files.createTempDirectory(Files.createDirectories(Path.of("target", "fleets")), "fleet");
			Fleet fleet = new Fleet(folder.toAbsolutePath(), options, proxied);
			try {
				fleet.start();
			}
			catch (RuntimeException ex) {
				fleet.close();
				throw ex;
			}
			TestFleet started = new TestFleet(fleet);
			started.awaitSteadyState();
			return started;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	Fleet fleet() {
		return this.fleet;
	}

	EntryClient client() {
		return this.client;
	}

	String primary() {
		return this.fleet.primary(GROUP).orElseThrow();
	}

	String owner() {
		return this.fleet.owner(GROUP).orElseThrow();
	}

	String entryOtherThan(String entry) {
		return this.fleet.entryNames().stream().filter((name) -> !name.equals(entry)).findFirst().orElseThrow();
	}

	List<String> replicas() {
		String primary = primary();
		return this.fleet.memberNames().stream().filter((name) -> !name.equals(primary)).toList();
	}

	String memberAddress(String member) {
		return this.fleet.httpAddress(qualifiedName(member));
	}

	String qualifiedName(String member) {
		return GROUP + "/" + member;
	}

	/**
	 * Sends a control request to a stand-in.
	 * @param member name of the member
	 * @param path path after {@code /control/} with query
	 * @return body of the response
	 */
	JsonNode controlStandIn(String member, String path) {
		return this.client.get(memberAddress(member), "/control/" + path);
	}

	/**
	 * Returns the executions of write statements on a key at all running members,
	 * including those whose records were removed later.
	 * @param key the key
	 * @return one node for each execution
	 */
	List<JsonNode> executions(String key) {
		List<JsonNode> found = new ArrayList<>();
		for (String member : this.fleet.memberNames()) {
			if (this.fleet.process(qualifiedName(member)).isAlive()) {
				controlStandIn(member, "history?key=" + key).path("executed").forEach(found::add);
			}
		}
		return found;
	}

	/**
	 * Waits until the fleet is in a steady state: each entry daemon is ready and serves
	 * writes, and all members have the term and the log position of the confirmed
	 * primary.
	 */
	void awaitSteadyState() {
		this.fleet.await("all entry daemons to be ready",
				() -> this.fleet.entryNames()
					.stream()
					.allMatch((name) -> this.client.statusCode(this.fleet.httpAddress(name), "/readiness") == 200));
		this.fleet.await("a write to be confirmed",
				() -> this.fleet.entryNames()
					.stream()
					.allMatch((name) -> this.client
						.trySend(this.fleet.httpAddress(name),
								Request.put("scheduling", "settled", "yes").timeoutMilliseconds(1_000))
						.filter(Response::isDone)
						.isPresent()));
		this.fleet.await("all members to replicate from the primary", this::isReplicated);
	}

	/**
	 * Restarts the processes that a test has ended and waits for a steady state.
	 */
	void restore() {
		this.fleet.controlNames()
			.stream()
			.filter((name) -> !this.fleet.process(name).isAlive())
			.forEach(this.fleet::startDaemon);
		this.fleet.entryNames()
			.stream()
			.filter((name) -> !this.fleet.process(name).isAlive())
			.forEach(this.fleet::startDaemon);
		this.fleet.memberNames()
			.stream()
			.filter((name) -> !this.fleet.process(qualifiedName(name)).isAlive())
			.forEach((name) -> this.fleet.startMember(GROUP, name));
		awaitSteadyState();
	}

	/**
	 * Starts load on all entry daemons.
	 * @param seconds duration of the load in seconds
	 * @param mixes request mixes in the syntax of the option {@code --mix}
	 * @return future of the report
	 */
	CompletableFuture<LoadReport> startLoad(double seconds, String... mixes) {
		List<String> addresses = this.fleet.entryNames().stream().map(this.fleet::httpAddress).toList();
		return startLoad(addresses, seconds, mixes);
	}

	CompletableFuture<LoadReport> startLoad(List<String> addresses, double seconds, String... mixes) {
		LoadSettings settings = new LoadSettings(addresses, false, List.of(GROUP),
				List.of(mixes).stream().map(LoadMix::parse).toList(), seconds, 0.5, 30, 128, 0, "latest", SEED);
		return CompletableFuture.supplyAsync(() -> new LoadGenerator(settings).run());
	}

	/**
	 * Asserts that the consistency checks of a load found no violation and that all of
	 * them could be carried out.
	 * @param name name of the test in the output
	 * @param report the report
	 */
	static void assertPassed(String name, LoadReport report) {
		System.out.println(name + ", seed " + SEED + ":\n" + report.text());
		assertThat(report.checks().violations().values()).as(report.checks().summary()).containsOnly(0L);
		assertThat(report.checks().unverified()).as("failed look-ups").isZero();
		assertThat(report.checks().sessionReads().values()).as("checked session reads").isNotEmpty();
		assertThat(report.checks().countersVerified()).as("counters compared").isPositive();
	}

	Optional<GroupView> group() {
		return this.fleet.group(GROUP);
	}

	Optional<ViewAnswer> leaderView() {
		return this.fleet.views().values().stream().filter(ViewAnswer::leader).findFirst();
	}

	@Override
	public void close() {
		this.fleet.close();
	}

	private boolean isReplicated() {
		Optional<GroupView> group = group();
		if (group.isEmpty() || group.get().primary().isEmpty()) {
			return false;
		}
		JsonNode primary = memberStatus(group.get().primary());
		return primary.path("role").asText().equals("PRIMARY") && this.fleet.memberNames().stream().allMatch((name) -> {
			JsonNode status = memberStatus(name);
			return status.path("term").equals(primary.path("term"))
					&& status.path("position").equals(primary.path("position"));
		});
	}

	private JsonNode memberStatus(String member) {
		try {
			return this.client.get(memberAddress(member), "/status");
		}
		catch (UncheckedIOException ex) {
			return MissingNode.getInstance();
		}
	}

}
