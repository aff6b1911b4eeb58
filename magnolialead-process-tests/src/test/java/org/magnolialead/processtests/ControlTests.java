package org.magnolialead.processtests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.message.ViewAnswer;
import org.magnolialead.ctl.load.LoadReport;
import org.magnolialead.testsupport.fleet.FleetOptions;
import org.magnolialead.testsupport.proxy.FaultMode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Crash, freeze, partition and disk loss of control daemons. Guards against two leaders
 * with authority at the same time, two owners in one epoch, and the loss of the
 * configuration or the ledger.
 */
class ControlTests {

	private static final String READS = "profile=scheduling,rate=50,kind=read,timeout=2000";

	private static final String WRITES = "profile=scheduling,rate=20,kind=write,timeout=2000";

	private static final String CONFIRMATIONS = "profile=confirmation,rate=8,kind=write,timeout=2000,resend=0.3";

	private static final Pattern OWNERSHIP_STARTED = Pattern.compile("ownership started: group=(\\S+) epoch=(\\d+)");

	private static TestFleet testFleet;

	private static ControlClient controlClient;

	@BeforeAll
	static void start() {
		testFleet = TestFleet.start(FleetOptions.small(), true);
		controlClient = new ControlClient(testFleet);
	}

	@AfterAll
	static void stop() {
		controlClient.close();
		testFleet.close();
	}

	@AfterEach
	void restore() {
		testFleet.fleet()
			.controlNames()
			.forEach((name) -> testFleet.fleet().changeControlRoutes(name, FaultMode.CONTINUE));
		testFleet.restore();
		testFleet.fleet().await("all control daemons to have the same state", ControlTests::controlDaemonsAgree);
		assertOneOwnerPerEpoch();
	}

	/**
	 * Guards against an outage of the fleet, or groups that change their owner, because
	 * the leader crashed.
	 */
	@Test
	void leaderKilledUnderLoad() {
		GroupView before = testFleet.group().orElseThrow();
		CompletableFuture<LoadReport> load = testFleet.startLoad(6, READS, WRITES, CONFIRMATIONS);
		Sleep.forMilliseconds(1_500);
		String leader = leader();
		testFleet.fleet().process(leader).kill();
		awaitLeaderOtherThan(leader);
		TestFleet.assertPassed("control leader killed", load.join());
		assertThat(testFleet.group().orElseThrow().ownerEpoch()).isEqualTo(before.ownerEpoch());
	}

	/**
	 * Guards against a leader that acts on expired authority after having been frozen.
	 */
	@Test
	void leaderFrozenAndResumed() {
		String leader = leader();
		long version = controlClient.configurationVersion();
		testFleet.fleet().process(leader).freeze();
		awaitLeaderOtherThan(leader);
		assertThat(
				controlClient.submit(ControlClient.putProfile("while-frozen", version, "frozen", 2_000)).isAccepted())
			.isTrue();
		testFleet.fleet().process(leader).resume();
		// The first command that it receives must not be decided on its stale state.
		controlClient.submitTo(leader, ControlClient.putProfile("after-freeze", version, "frozen", 9_000))
			.ifPresent((result) -> assertThat(result.isAccepted()).as("decision on a stale version").isFalse());
		testFleet.fleet().await("the former leader to catch up", ControlTests::controlDaemonsAgree);
		assertThat(controlClient.configurationVersion()).isEqualTo(version + 1);
		assertThat(maximumAgeMilliseconds("frozen")).isEqualTo(2_000);
	}

	/**
	 * Guards against two leaders or two owners at the same time: a network partition
	 * silently isolates the leader for several seconds, and the owner is frozen until
	 * another daemon has taken over its group.
	 */
	@Test
	void leaderPartitionedWhileOwnerIsFrozen() {
		GroupView before = testFleet.group().orElseThrow();
		String oldLeader = leader();
		long version = controlClient.configurationVersion();
		AtomicBoolean polling = new AtomicBoolean(true);
		List<String> concurrentLeaders = new CopyOnWriteArrayList<>();
		CompletableFuture<Void> poller = CompletableFuture
			.runAsync(() -> recordConcurrentLeaders(polling, concurrentLeaders));
		CompletableFuture<LoadReport> load = testFleet.startLoad(14, READS, WRITES, CONFIRMATIONS);
		Sleep.forMilliseconds(1_500);
		testFleet.fleet().changeControlRoutes(oldLeader, FaultMode.CUT);
		testFleet.fleet().process(before.owner()).freeze();
		testFleet.fleet()
			.await("another owner",
					() -> testFleet.group()
						.filter((group) -> group.ownerEpoch() > before.ownerEpoch() && !group.owner().isEmpty()
								&& !group.owner().equals(before.owner()))
						.isPresent());
		testFleet.fleet().process(before.owner()).resume();
		for (int attempt = 0; attempt < 3; attempt++) {
			controlClient.submitTo(oldLeader, ControlClient.putProfile("cut-off-" + attempt, version, "cut", 9_000))
				.ifPresent(
						(result) -> assertThat(result.isAccepted()).as("accepted by a partitioned leader").isFalse());
		}
		CommandResult accepted = controlClient.submit(ControlClient.putProfile("by-new-leader", version, "cut", 2_000));
		assertThat(accepted.isAccepted()).as(accepted.message()).isTrue();
		assertThat(leader()).isNotEqualTo(oldLeader);
		Sleep.forMilliseconds(2_000);
		testFleet.fleet().changeControlRoutes(oldLeader, FaultMode.CONTINUE);
		LoadReport report = load.join();
		polling.set(false);
		poller.join();
		assertThat(concurrentLeaders).as("samples in which two daemons had the authority of a leader").isEmpty();
		TestFleet.assertPassed("leader partitioned and owner frozen", report);
		testFleet.fleet().await("the former leader to catch up", ControlTests::controlDaemonsAgree);
		assertThat(maximumAgeMilliseconds("cut")).isEqualTo(2_000);
	}

	/**
	 * Guards against a member that restarts with an empty disk and votes for a leader
	 * that lacks committed commands, and against a repair after which the cluster cannot
	 * tolerate another failure.
	 */
	@Test
	void diskLostAndRepairedThenAnotherMemberLost() {
		Response confirmed = sendConfirmation("before-disk-loss");
		long version = controlClient.configurationVersion();
		assertThat(controlClient.submit(ControlClient.putProfile("disk", version, "disk", 3_000)).isAccepted())
			.isTrue();
		String leader = leader();
		List<String> followers = testFleet.fleet()
			.controlNames()
			.stream()
			.filter((name) -> !name.equals(leader))
			.toList();
		String lost = followers.get(0);
		testFleet.fleet().process(lost).kill();
		testFleet.fleet().deleteDataFolder(lost);
		testFleet.fleet().startDaemon(lost);
		testFleet.fleet().await("the member to catch up", () -> hasRejoined(lost));
		// The views list voters without their incarnations, so that they do not show the
		// replacement of the old identity by the new one, which follows immediately.
		Sleep.forMilliseconds(1_500);
		testFleet.fleet().await("the member to have rejoined", () -> hasRejoined(lost));
		testFleet.fleet().process(leader).kill();
		assertThat(controlClient.submit(ControlClient.putProfile("disk-2", version + 1, "disk", 4_000)).isAccepted())
			.isTrue();
		assertThat(maximumAgeMilliseconds("disk")).isEqualTo(4_000);
		assertResponseReplayed("before-disk-loss", confirmed);
	}

	/**
	 * Guards against a configuration or a ledger that is not persisted on the disks.
	 */
	@Test
	void allControlDaemonsKilledAndRestarted() {
		Response confirmed = sendConfirmation("before-restart");
		long version = controlClient.configurationVersion();
		assertThat(controlClient.submit(ControlClient.putProfile("restart", version, "restart", 3_000)).isAccepted())
			.isTrue();
		testFleet.fleet().controlNames().forEach((name) -> testFleet.fleet().process(name).kill());
		testFleet.fleet().controlNames().forEach(testFleet.fleet()::startDaemon);
		testFleet.fleet().await("a leader", () -> testFleet.fleet().leader().isPresent());
		assertThat(controlClient.configurationVersion()).isEqualTo(version + 1);
		assertThat(maximumAgeMilliseconds("restart")).isEqualTo(3_000);
		testFleet.awaitSteadyState();
		assertResponseReplayed("before-restart", confirmed);
	}

	private static Response sendConfirmation(String key) {
		String owner = testFleet.owner();
		Request request = Request.increment("confirmation", key).idempotencyKey(key);
		Response response = testFleet.client().send(testFleet.fleet().httpAddress(owner), request);
		assertThat(response.isDone()).as("confirmation: " + response).isTrue();
		// The result is recorded after the response has been sent.
		Sleep.forMilliseconds(500);
		return response;
	}

	/**
	 * Asserts that the ledger contains a request: a new owner, which has not seen the
	 * request, repeats its response.
	 * @param key key of the request
	 * @param first first response
	 */
	private static void assertResponseReplayed(String key, Response first) {
		GroupView before = testFleet.group().orElseThrow();
		testFleet.fleet().process(before.owner()).freeze();
		testFleet.fleet()
			.await("another owner",
					() -> testFleet.group().filter((group) -> group.ownerEpoch() > before.ownerEpoch()).isPresent());
		testFleet.fleet().process(before.owner()).resume();
		Request request = Request.increment("confirmation", key).idempotencyKey(key).timeoutMilliseconds(10_000);
		List<Response> responses = new ArrayList<>();
		testFleet.fleet().await("a response to the retry", () -> {
			Response response = testFleet.client()
				.send(testFleet.fleet().httpAddress(testFleet.entryOtherThan(before.owner())), request);
			responses.add(response);
			return !response.outcome().equals("NOT_RUN");
		});
		Response resent = responses.get(responses.size() - 1);
		assertThat(resent.isReplayed()).as("resent: " + resent).isTrue();
		assertThat(resent.body()).isEqualTo(first.body());
		assertThat(testFleet.executions(key)).hasSize(1);
	}

	private static String leader() {
		testFleet.fleet().await("a leader", () -> testFleet.fleet().leader().isPresent());
		return testFleet.fleet().leader().orElseThrow();
	}

	private static void awaitLeaderOtherThan(String leader) {
		testFleet.fleet()
			.await("another leader",
					() -> testFleet.fleet().leader().filter((name) -> !name.equals(leader)).isPresent());
	}

	private static long maximumAgeMilliseconds(String profile) {
		return testFleet.leaderView()
			.orElseThrow()
			.view()
			.configuration()
			.profiles()
			.get(profile)
			.maximumAgeMilliseconds();
	}

	private static boolean controlDaemonsAgree() {
		Map<String, ViewAnswer> views = testFleet.fleet().views();
		return views.size() == 3 && views.values().stream().anyMatch(ViewAnswer::leader)
				&& views.values().stream().map((view) -> view.view().configuration()).distinct().count() == 1
				&& views.values().stream().map(ViewAnswer::appliedIndex).distinct().count() == 1
				&& views.values().stream().allMatch((view) -> view.voters().size() == 3);
	}

	/**
	 * Returns whether a member has restarted and caught up and the cluster has three
	 * voters.
	 * @param member name of the member
	 * @return {@code true} if it has rejoined the cluster
	 */
	private static boolean hasRejoined(String member) {
		Map<String, ViewAnswer> views = testFleet.fleet().views();
		return views.containsKey(member) && controlDaemonsAgree()
				&& testFleet.fleet().process(member).output().contains("daemon started");
	}

	private static void recordConcurrentLeaders(AtomicBoolean polling, List<String> concurrentLeaders) {
		while (polling.get()) {
			// The second query rules out a leader change during the first one.
			List<String> first = leaders();
			List<String> second = leaders();
			first.retainAll(second);
			if (first.size() > 1) {
				concurrentLeaders.add(first.toString());
			}
			Sleep.forMilliseconds(20);
		}
	}

	private static List<String> leaders() {
		List<String> leaders = new ArrayList<>();
		testFleet.fleet().views().forEach((name, view) -> {
			if (view.leader()) {
				leaders.add(name);
			}
		});
		return leaders;
	}

	private static void assertOneOwnerPerEpoch() {
		Map<String, String> owners = new HashMap<>();
		for (String entry : testFleet.fleet().entryNames()) {
			Matcher matcher = OWNERSHIP_STARTED.matcher(testFleet.fleet().process(entry).output());
			while (matcher.find()) {
				String previous = owners.put(matcher.group(1) + "/" + matcher.group(2), entry);
				assertThat(previous).as("owner of epoch " + matcher.group()).isNull();
			}
		}
		assertThat(owners).isNotEmpty();
	}

}
