package org.magnolialead.daemon.session;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.AccountTable;
import org.magnolialead.api.ClientAccount;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.FreshnessRule;
import org.magnolialead.api.KeyDigest;
import org.magnolialead.api.Route;
import org.magnolialead.api.RouteTable;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.daemon.session.ClientStatement.Verb;
import org.magnolialead.engine.queue.QueueRefusal;
import org.magnolialead.engine.queue.ServiceTimes.Work;
import org.magnolialead.engine.session.ReadPlan;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests for member connections that are served in the wrong order or
 * refused at the wrong time while all connections are in use. Statements have a timeout
 * of 800 ms, and the daemon opens at most three connections to the primary.
 */
class RequestQueueTests {

	private static final int CONNECTIONS = 3;

	private static final long TIMEOUT_MILLISECONDS = 800;

	private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	private final ManualLoop loop = new ManualLoop();

	private final FakeGroup group = new FakeGroup(this.loop, "a", "b", "c");

	private final SessionService service = new SessionService("daemon-1", "zone", this.loop, this.loop,
			this.loop::milliseconds, this.group, ForwardingLink.NONE);

	@BeforeEach
	void start() {
		this.service.start();
		Map<String, Route> routes = Map.of("primary",
				new Route("primary", FakeGroup.NAME, FreshnessRule.LATEST, 0, 0, TIMEOUT_MILLISECONDS), "open",
				new Route("open", FakeGroup.NAME, FreshnessRule.LATEST, 0, 0, TIMEOUT_MILLISECONDS, true), "bounded",
				new Route("bounded", FakeGroup.NAME, FreshnessRule.MAXIMUM_AGE, 1_000, 1, TIMEOUT_MILLISECONDS));
		RouteTable table = new RouteTable(1, routes, Map.of(FakeGroup.NAME, 18), Map.of(), 30_000,
				new AccountTable(Map.of("large", account("large"), "small", account("small"))), "");
		FleetConfiguration initial = FleetConfiguration.initial();
		FleetConfiguration configuration = new FleetConfiguration(1, initial.profiles(), initial.rankFloors(),
				initial.queueLimit(), table);
		this.service
			.viewChanged(new FleetView(1, configuration, Map.of(FakeGroup.NAME, this.group.view("", 0, "")), Map.of()));
		this.loop.advance(1_100);
	}

	private static ClientAccount account(String name) {
		return new ClientAccount(name, List.of(KeyDigest.of(name, StandardCharsets.US_ASCII)), null);
	}

	private TestClient client(String database, String account) {
		return new TestClient(this.loop, this.service, database, account);
	}

	private GroupRouter router() {
		return this.service.router(FakeGroup.NAME);
	}

	private long refused(QueueRefusal reason) {
		return this.service.metrics().registry().counter("requests.refused." + reason.metricName()).getCount();
	}

	// Returns the clients of transactions that use all connections to the primary.
	private List<TestClient> occupyConnections() {
		List<TestClient> clients = new ArrayList<>();
		for (int number = 0; number < CONNECTIONS; number++) {
			clients.add(beginTransaction());
			assertThat(clients.get(number).replies()).hasSize(2);
		}
		return clients;
	}

	private TestClient beginTransaction() {
		TestClient client = client("primary", "large");
		client.send(Verb.BEGIN, "", "", 20);
		client.send(Verb.WRITE, "item", "x", 20);
		return client;
	}

	// Returns the position of the last client's statement among those that were run.
	private int positionOfLast(String database, String account) {
		List<TestClient> holders = occupyConnections();
		for (int number = 0; number < 60; number++) {
			client(database, "large").send(Verb.WRITE, "large", "x", 0);
		}
		client(database, account).send(Verb.WRITE, "last", "x", 0);
		int before = this.group.executions().size();
		holders.forEach((holder) -> holder.send(Verb.COMMIT, "", "", 0));
		this.loop.advance(200);
		List<String> run = this.group.executions()
			.stream()
			.skip(before)
			.map(FakeGroup.Execution::text)
			.filter((text) -> !text.equals("COMMIT"))
			.toList();
		assertThat(run).hasSize(61);
		return run.indexOf("WRITE last x");
	}

	@Test
	void accountWithManyRequestsDoesNotDelayAnother() {
		assertThat(positionOfLast("primary", "small")).isLessThanOrEqualTo(CONNECTIONS);
	}

	@Test
	void requestsOfOneAccountAreServedByArrival() {
		assertThat(positionOfLast("primary", "large")).isEqualTo(60);
	}

	@Test
	void serviceTimesAreLearnedFromStatementsAndTransactions() {
		TestClient client = beginTransaction();
		this.loop.advance(180);
		client.send(Verb.COMMIT);
		long timeout = TIMEOUT_MILLISECONDS * MILLISECOND;
		assertThat(router().serviceTimes().expected("primary", Work.STATEMENT, timeout, 0)).isBetween(1 * MILLISECOND,
				5 * MILLISECOND);
		assertThat(router().serviceTimes().expected("primary", Work.TRANSACTION, timeout, 0))
			.isBetween(200 * MILLISECOND, 210 * MILLISECOND);
	}

	/**
	 * Guards against a queue in which each request misses its deadline: four transactions
	 * of 400 ms ahead on three connections mean a wait of more than half of 800 ms.
	 */
	@Test
	void requestWithATooLongExpectedWaitIsRefusedOnArrival() {
		router().serviceTimes().record("primary", Work.TRANSACTION, 400 * MILLISECOND);
		occupyConnections();
		for (int number = 0; number < 4; number++) {
			assertThat(beginTransaction().replies()).hasSize(1);
		}
		assertThat(refused(QueueRefusal.EXPECTED_WAIT)).isZero();
		TestClient refused = beginTransaction();
		assertThat(refused.replies()).hasSize(2);
		assertThat(refused.replies().get(1).error()).isEqualTo(StatementError.OVERLOADED);
		assertThat(refused(QueueRefusal.EXPECTED_WAIT)).isEqualTo(1);
	}

	/**
	 * Guards against refusals at once while there is no connection to the primary, which
	 * use up the retries of the clients before there is one.
	 */
	@Test
	void requestsWithoutAConnectionToThePrimaryWaitWhateverIsAhead() {
		router().serviceTimes().record("primary", Work.STATEMENT, 400 * MILLISECOND);
		this.group.member("a").connectionLimitReached(true);
		this.loop.advance(200);
		List<TestClient> waiting = new ArrayList<>();
		for (int number = 0; number < 30; number++) {
			waiting.add(client("primary", "large"));
			waiting.get(number).send(Verb.WRITE, "item", "x", 0);
		}
		this.loop.advance(300);
		assertThat(waiting).allMatch((client) -> client.replies().isEmpty());
		this.loop.advance(50);
		assertThat(refused(QueueRefusal.UNAVAILABLE_MEMBER)).isEqualTo(30);
	}

	/**
	 * Guards against the same for a forwarded request, which arrives with less time than
	 * a statement of its route is expected to take.
	 */
	@Test
	void forwardedRequestWithoutAConnectionToThePrimaryWaits() {
		router().serviceTimes().record("primary", Work.STATEMENT, 400 * MILLISECOND);
		this.group.member("a").connectionLimitReached(true);
		this.loop.advance(200);
		List<QueueRefusal> refusals = new ArrayList<>();
		long now = this.loop.nanoseconds();
		Route route = new Route("primary", FakeGroup.NAME, FreshnessRule.LATEST, 0, 0, TIMEOUT_MILLISECONDS);
		router().submit(new ConnectionRequest(route, "large", Work.STATEMENT, ReadPlan.PRIMARY, Map.of(),
				now + 300 * MILLISECOND, now + 120 * MILLISECOND, now + 180 * MILLISECOND, null, (connection) -> {
				}, refusals::add));
		this.loop.advance(100);
		assertThat(refusals).isEmpty();
		this.loop.advance(50);
		assertThat(refusals).containsExactly(QueueRefusal.UNAVAILABLE_MEMBER);
	}

	/**
	 * Guards against a connection that is used for a statement whose answer would come
	 * after the deadline. Nothing of the statement may be sent.
	 */
	@Test
	void requestThatCanNoLongerCompleteLeavesTheQueue() {
		occupyConnections();
		router().serviceTimes().record("primary", Work.STATEMENT, 4_000 * MILLISECOND);
		TestClient late = client("primary", "small");
		assertThat(late.send(Verb.WRITE, "late", "x", 380)).isNull();
		this.loop.advance(60);
		assertThat(late.replies().get(0).error()).isEqualTo(StatementError.OVERLOADED);
		assertThat(refused(QueueRefusal.INSUFFICIENT_TIME)).isEqualTo(1);
		this.loop.advance(1_000);
		assertThat(this.group.executions()).noneMatch((execution) -> execution.text().contains("late"));
	}

	/**
	 * Guards against reads that wait for connections to the primary although a replica
	 * can serve them.
	 */
	@Test
	void requestsForThePrimaryDoNotDelayReadsOfReplicas() {
		occupyConnections();
		for (int number = 0; number < 60; number++) {
			client("primary", "large").send(Verb.WRITE, "item", "x", 0);
		}
		assertThat(client("bounded", "large").send(Verb.READ, "item", "", 20).isDone()).isTrue();
	}

	/**
	 * Guards against a changed order for clients without an account.
	 */
	@Test
	void requestsWithoutAccountsAreServedByArrival() {
		List<TestClient> holders = occupyConnections();
		for (int number = 0; number < 60; number++) {
			client("open", "none").send(Verb.WRITE, "item" + number, "x", 0);
		}
		int before = this.group.executions().size();
		holders.forEach((holder) -> holder.send(Verb.COMMIT, "", "", 0));
		this.loop.advance(200);
		List<String> run = this.group.executions()
			.stream()
			.skip(before)
			.map(FakeGroup.Execution::text)
			.filter((text) -> !text.equals("COMMIT"))
			.toList();
		assertThat(run).hasSize(60);
		for (int number = 0; number < 60; number++) {
			assertThat(run.get(number)).isEqualTo("WRITE item" + number + " x");
		}
	}

}
