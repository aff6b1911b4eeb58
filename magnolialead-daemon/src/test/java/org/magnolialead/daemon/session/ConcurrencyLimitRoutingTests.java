package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.magnolialead.api.DaemonView;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.FreshnessRule;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.Route;
import org.magnolialead.api.RouteTable;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.daemon.session.ClientStatement.Verb;
import org.magnolialead.engine.session.ConcurrencyLimit;
import org.magnolialead.engine.session.ConnectionHolders;
import org.magnolialead.engine.session.ConnectionRole;
import org.magnolialead.engine.session.SessionLimits;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the choice of a member by learned limits and statements in flight.
 */
class ConcurrencyLimitRoutingTests {

	private static final String ZONE = "zone";

	private static final int DAEMONS = 30;

	private static final int CONNECTION_LIMIT = 25;

	private final ManualLoop loop = new ManualLoop();

	private final FakeGroup group = new FakeGroup(this.loop, "a", "b", "c");

	/**
	 * Starts the daemon of a large fleet that holds ten connections to each member.
	 */
	private SessionService start(boolean learnedLimits) {
		Map<String, DaemonView> daemons = new HashMap<>();
		for (int number = 0; number < DAEMONS; number++) {
			String name = "daemon-" + number;
			daemons.put(name, new DaemonView(name, 1, name, name + ":1", ZONE, false));
		}
		ConnectionHolders holders = new ConnectionHolders(daemons.values());
		String holder = daemons.keySet()
			.stream()
			.filter((name) -> holders.share(FakeGroup.NAME, CONNECTION_LIMIT, name, ZONE, false)
				.role() == ConnectionRole.HOLDER)
			.min(Comparator.naturalOrder())
			.orElseThrow();
		SessionService service = new SessionService(holder, ZONE, this.loop, this.loop, this.loop::milliseconds,
				this.group, ForwardingLink.NONE, SessionLimits.defaults(Runtime.getRuntime().maxMemory()),
				learnedLimits);
		Map<String, Route> routes = Map.of("primary",
				new Route("primary", FakeGroup.NAME, FreshnessRule.LATEST, 0, 0, 800), "bounded",
				new Route("bounded", FakeGroup.NAME, FreshnessRule.MAXIMUM_AGE, 1_500, 2, 1_200));
		RouteTable table = new RouteTable(1, routes, Map.of(FakeGroup.NAME, CONNECTION_LIMIT), 3_000, "");
		FleetConfiguration initial = FleetConfiguration.initial();
		FleetConfiguration configuration = new FleetConfiguration(1, initial.profiles(), initial.rankFloors(),
				initial.queueLimit(), table);
		service.start();
		service
			.viewChanged(new FleetView(1, configuration, Map.of(FakeGroup.NAME, this.group.view("", 0, "a")), daemons));
		this.loop.advance(5_000);
		// Replicas serve bounded reads once a position of the primary is known.
		new TestClient(this.loop, service, "primary").send(Verb.READ, "item", "", 100);
		this.group.executions().clear();
		return service;
	}

	private List<TestClient> readAtOnce(SessionService service, int count) {
		List<TestClient> clients = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			TestClient client = new TestClient(this.loop, service, "bounded");
			client.send(Verb.READ, "item", "", 0);
			clients.add(client);
		}
		return clients;
	}

	private long executionsAt(String member) {
		return this.group.executions().stream().filter((execution) -> execution.member().equals(member)).count();
	}

	/**
	 * Guards against reads that all go to the member with the least smoothed time, beyond
	 * its limit, while others are idle.
	 */
	@Test
	void readsAtOnceAreSpreadByWhatIsInFlight() {
		SessionService service = start(true);
		List<TestClient> clients = readAtOnce(service, ConcurrencyLimit.DEFAULT_LIMIT * 2);
		this.loop.advance(100);
		assertThat(executionsAt("b")).isEqualTo(ConcurrencyLimit.DEFAULT_LIMIT);
		assertThat(executionsAt("c")).isEqualTo(ConcurrencyLimit.DEFAULT_LIMIT);
		assertThat(clients).allMatch((client) -> client.replies().get(0).isDone());
	}

	/**
	 * Guards against reads that are refused or wait although connections are free,
	 * because every member is at its limit.
	 */
	@Test
	void readsBeyondAllLimitsAreServed() {
		SessionService service = start(true);
		List<TestClient> clients = readAtOnce(service, ConcurrencyLimit.DEFAULT_LIMIT * 4);
		this.loop.advance(3);
		assertThat(executionsAt("a")).isEqualTo(ConcurrencyLimit.DEFAULT_LIMIT);
		assertThat(clients).allMatch((client) -> client.replies().size() == 1);
	}

	/**
	 * Guards against a write that waits because the primary is at its limit.
	 */
	@Test
	void writesAreNotLimited() {
		SessionService service = start(true);
		List<TestClient> clients = new ArrayList<>();
		for (int index = 0; index < ConcurrencyLimit.DEFAULT_LIMIT * 2; index++) {
			TestClient client = new TestClient(this.loop, service, "primary");
			client.send(Verb.WRITE, "item", "x", 0);
			clients.add(client);
		}
		this.loop.advance(2);
		assertThat(clients).allMatch((client) -> client.replies().size() == 1);
	}

	/**
	 * Guards against a change of the choice in deployments that have not enabled it.
	 */
	@Test
	void withoutTheSettingReadsPreferOneMember() {
		SessionService service = start(false);
		readAtOnce(service, ConcurrencyLimit.DEFAULT_LIMIT * 2);
		this.loop.advance(100);
		assertThat(Math.max(executionsAt("b"), executionsAt("c"))).isEqualTo(ConcurrencyLimit.DEFAULT_LIMIT * 2);
	}

	/**
	 * Guards against a log line for each step of a limit.
	 */
	@Test
	void onlyLimitsThatHalveOrDoubleAreLogged() {
		LearnedLimits limits = new LearnedLimits(true, 0);
		MemberDescription member = new MemberDescription(FakeGroup.NAME, "a", "10.0.0.1:1", ZONE, 2, 18, false, true,
				1);
		assertThat(limits.logChange(member, 4, 3, 0, 0)).isEqualTo(4);
		assertThat(limits.logChange(member, 4, 7, 0, 0)).isEqualTo(4);
		assertThat(limits.logChange(member, 4, 2, 0, 0)).isEqualTo(2);
		assertThat(limits.logChange(member, 4, 8, 0, 0)).isEqualTo(8);
	}

	/**
	 * Guards against a member whose statements are given up without an answer and that
	 * keeps its smoothed time, and against more gauges than members.
	 */
	@Test
	void unansweredStatementsCountAndMetricsShowThem() {
		SessionService service = start(true);
		readAtOnce(service, 1);
		this.loop.advance(100);
		this.group.member("b").loseAnswers(1);
		this.group.member("c").loseAnswers(1);
		TestClient client = new TestClient(this.loop, service, "bounded");
		StatementReply reply = client.send(Verb.READ, "item", "", 1_200);
		assertThat(reply.isDone()).isTrue();
		this.loop.advance(2_000);
		Map<String, ?> gauges = service.metrics().registry().getGauges();
		assertThat(gauges.keySet()).filteredOn((name) -> name.startsWith("members.load."))
			.hasSizeBetween(3, 3 * MemberLoadMetrics.MAXIMUM_MEMBERS);
		long slowest = service.metrics()
			.registry()
			.getGauges((name, metric) -> name.endsWith(".smoothed-microseconds"))
			.values()
			.stream()
			.mapToLong((gauge) -> (Long) gauge.getValue())
			.max()
			.orElseThrow();
		assertThat(slowest).isGreaterThan(1_100);
	}

}
