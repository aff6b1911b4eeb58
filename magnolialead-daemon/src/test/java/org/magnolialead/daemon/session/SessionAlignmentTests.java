package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.FreshnessRule;
import org.magnolialead.api.Route;
import org.magnolialead.api.RouteTable;
import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.daemon.session.ClientStatement.Verb;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a statement runs only on a connection that holds the values and prepared
 * statements of its session, with members that fail or do not answer the commands that
 * set these.
 */
class SessionAlignmentTests {

	private final ManualLoop loop = new ManualLoop();

	private final FakeGroup group = new FakeGroup(this.loop, "a", "b", "c");

	private final SessionService service = new SessionService("daemon-1", "zone", this.loop, this.loop,
			this.loop::milliseconds, this.group, ForwardingLink.NONE);

	@BeforeEach
	void start() {
		Map<String, Route> routes = new HashMap<>();
		List.of(new Route("primary", FakeGroup.NAME, FreshnessRule.LATEST, 0, 0, 800),
				new Route("session", FakeGroup.NAME, FreshnessRule.SESSION, 2_500, 1, 800),
				new Route("bounded", FakeGroup.NAME, FreshnessRule.MAXIMUM_AGE, 1_500, 2, 1_200))
			.forEach((route) -> routes.put(route.database(), route));
		RouteTable table = new RouteTable(1, routes, Map.of(FakeGroup.NAME, 18), 3_000, "");
		FleetConfiguration initial = FleetConfiguration.initial();
		this.service.start();
		this.service.viewChanged(new FleetView(1,
				new FleetConfiguration(1, initial.profiles(), initial.rankFloors(), initial.queueLimit(), table),
				Map.of(FakeGroup.NAME, this.group.view("", 0, "")), Map.of()));
		// Additional connections are permitted only after the startup delay.
		this.loop.advance(1_100);
	}

	private TestClient client(String database) {
		return new TestClient(this.loop, this.service, database);
	}

	private void failOnAllMembers(Predicate<MemberCommand.Kind> selection) {
		List.of("a", "b", "c").forEach((name) -> this.group.member(name).fail(selection));
	}

	// Sessions with different variables prefer connections without variables, until each
	// open connection has some.
	private void useConnectionsWithOtherVariables() {
		List<TestClient> others = new ArrayList<>();
		for (String database : List.of("primary", "session", "bounded")) {
			for (int count = 0; count < 20; count++) {
				others.add(client(database));
			}
		}
		for (int index = 0; index < others.size(); index++) {
			others.get(index).send(Verb.SET, "other" + index, "value", 0);
		}
		others.forEach((other) -> other.send(Verb.READ, "0", "", 0));
		this.loop.advance(100);
		others.forEach((other) -> other.send(Verb.WRITE, "0", "x", 0));
		this.loop.advance(100);
		this.group.executions().clear();
	}

	/**
	 * Guards against a statement that runs with the variables of another session because
	 * the member failed to set those of its own.
	 */
	@Test
	void statementDoesNotRunWhileItsMemberFailsToSetVariables() {
		useConnectionsWithOtherVariables();
		failOnAllMembers((kind) -> kind == MemberCommand.Kind.SET);
		for (String database : List.of("primary", "session", "bounded")) {
			TestClient client = client(database);
			client.send(Verb.SET, "language", "vi");
			assertThat(client.send(Verb.READ, "1", "", 1_200).error()).isEqualTo(StatementError.OVERLOADED);
			assertThat(client.send(Verb.WRITE, "1", "x", 1_200).error()).isEqualTo(StatementError.OVERLOADED);
		}
		assertThat(this.group.executions()).isEmpty();
	}

	/**
	 * Guards against a failed variable that stays unknown after the member has recovered.
	 */
	@Test
	void statementRunsWithItsVariablesOnceTheMemberHasRecovered() {
		useConnectionsWithOtherVariables();
		failOnAllMembers((kind) -> kind == MemberCommand.Kind.SET);
		TestClient client = client("primary");
		client.send(Verb.SET, "language", "vi");
		client.send(Verb.WRITE, "1", "x", 1_200);
		failOnAllMembers((kind) -> false);
		assertThat(client.send(Verb.WRITE, "2", "x").isDone()).isTrue();
		assertThat(this.group.executions()).singleElement()
			.extracting(FakeGroup.Execution::sessionVariables)
			.isEqualTo(Map.of("language", "vi"));
	}

	/**
	 * Guards against a client that is told that its prepared statement is unknown, or for
	 * which another one runs, because the member failed to prepare it.
	 */
	@Test
	void statementThatCouldNotBePreparedIsRefusedAndLaterPrepared() {
		failOnAllMembers((kind) -> kind == MemberCommand.Kind.PREPARE_WRITE);
		TestClient client = client("primary");
		client.send(Verb.PREPARE_WRITE, "s1", "shape");
		assertThat(client.send(Verb.EXECUTE, "s1", "item", 1_200).error()).isEqualTo(StatementError.OVERLOADED);
		failOnAllMembers((kind) -> false);
		assertThat(client.send(Verb.EXECUTE, "s1", "item").isDone()).isTrue();
		assertThat(this.group.executions()).extracting(FakeGroup.Execution::text).containsExactly("WRITE shape item");
	}

	/**
	 * Guards against a transaction whose next statement runs without a variable that its
	 * client has set within the transaction.
	 */
	@Test
	void transactionIsRolledBackIfItsMemberFailsToSetAVariable() {
		TestClient client = client("primary");
		client.send(Verb.BEGIN);
		client.send(Verb.WRITE, "1", "x");
		failOnAllMembers((kind) -> kind == MemberCommand.Kind.SET);
		client.send(Verb.SET, "language", "vi");
		StatementReply reply = client.send(Verb.COMMIT, "", "", 1_200);
		assertThat(reply.error()).isEqualTo(StatementError.ROLLED_BACK);
		assertThat(reply.state()).isEqualTo(SessionState.IDLE);
		assertThat(this.group.executions()).hasSize(1);
		assertThat(this.group.member("a").openTransactions()).isZero();
	}

	/**
	 * Guards against a write that is answered as unknown, or that waits until its
	 * deadline, although it was never sent because its connection could not be aligned.
	 */
	@Test
	void writeWhoseConnectionIsNotAlignedInTimeIsRunOnAnother() {
		useConnectionsWithOtherVariables();
		TestClient client = client("primary");
		client.send(Verb.SET, "language", "vi");
		this.group.member("a").loseAnswersOf((kind) -> kind == MemberCommand.Kind.SET);
		assertThat(client.send(Verb.WRITE, "1", "x", 60)).isNull();
		this.group.member("a").loseAnswersOf((kind) -> false);
		this.loop.advance(400);
		assertThat(client.replies()).last().matches(StatementReply::isDone);
		assertThat(this.group.executions()).hasSize(1);
	}

	/**
	 * Guards against a replica that fails a part of its reads quickly and attracts reads
	 * because of that, and against one that receives none any more once it has recovered.
	 */
	@Test
	void replicaThatFailsReadsReceivesFewerUntilItHasRecovered() {
		Random random = new Random(1);
		AtomicInteger failures = new AtomicInteger();
		TestClient client = client("bounded");
		this.group.member("b").fail((kind) -> {
			boolean forwards = kind == MemberCommand.Kind.FORWARD || kind == MemberCommand.Kind.COMMIT;
			boolean fails = forwards && random.nextInt(100) < 40;
			failures.addAndGet(fails ? 1 : 0);
			return fails;
		});
		readRepeatedly(client, 1_000);
		assertThat(failures.get()).isBetween(1, 50);
		this.group.member("b").fail((kind) -> false);
		this.group.member("c").fail((kind) -> kind == MemberCommand.Kind.FORWARD || kind == MemberCommand.Kind.COMMIT);
		readRepeatedly(client, 1_000);
		this.group.executions().clear();
		readRepeatedly(client, 1_000);
		assertThat(executionsAt("b")).isGreaterThan(900);
	}

	private void readRepeatedly(TestClient client, int count) {
		for (int number = 0; number < count; number++) {
			client.send(Verb.READ, "item", "", 20);
		}
	}

	private long executionsAt(String member) {
		return this.group.executions().stream().filter((execution) -> execution.member().equals(member)).count();
	}

	/**
	 * Guards against any order of failures, lost answers and promotions after which a
	 * statement runs with other variables, or as another prepared statement, than its
	 * client was told.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 })
	void statementsRunWithTheAcknowledgedStateOfTheirSession(long seed) {
		Random random = new Random(seed);
		disturbMembers(random);
		List<SessionModel> sessions = new ArrayList<>();
		Map<String, Expectation> expectations = new HashMap<>();
		for (int step = 0; step < 4_000; step++) {
			if (sessions.size() < 8) {
				sessions.add(new SessionModel(client(List.of("primary", "session", "bounded").get(random.nextInt(3)))));
			}
			SessionModel session = sessions.get(random.nextInt(sessions.size()));
			if (random.nextInt(100) == 0) {
				session.client.session().clientDisconnected();
				sessions.remove(session);
			}
			else if (session.isAnswered()) {
				session.sendNext(random, step, expectations);
			}
			if (random.nextInt(400) == 0) {
				this.group.promote(List.of("a", "b", "c").get(random.nextInt(3)));
			}
			this.loop.advance(random.nextInt(4));
		}
		assertThat(this.group.executions()).hasSizeGreaterThan(100);
		for (FakeGroup.Execution execution : this.group.executions()) {
			if (!execution.text().equals("COMMIT")) {
				String item = execution.text().substring(execution.text().lastIndexOf(' ') + 1);
				assertThat(new Expectation(execution.text(), execution.sessionVariables()))
					.isEqualTo(expectations.get(item));
			}
		}
	}

	private void disturbMembers(Random random) {
		for (String name : List.of("a", "b", "c")) {
			this.group.member(name).fail((kind) -> random.nextInt(100) < 25);
			this.group.member(name).loseAnswersOf((kind) -> random.nextInt(1_000) < 5);
		}
	}

	/**
	 * What a statement must run as.
	 *
	 * @param text statement text with the prepared statement resolved
	 * @param sessionVariables variables that its client has set
	 */
	private record Expectation(String text, Map<String, String> sessionVariables) {
	}

	/**
	 * Client that sends random statements and knows what was acknowledged to it.
	 */
	private static final class SessionModel {

		private final TestClient client;

		private final Map<String, String> variables = new HashMap<>();

		private final Map<String, String> prepared = new HashMap<>();

		private int sent;

		private SessionModel(TestClient client) {
			this.client = client;
		}

		private boolean isAnswered() {
			return this.client.replies().size() == this.sent;
		}

		private SessionState state() {
			return this.client.replies().isEmpty() ? SessionState.IDLE
					: this.client.replies().get(this.sent - 1).state();
		}

		private void sendNext(Random random, int step, Map<String, Expectation> expectations) {
			if (state() == SessionState.FAILED_TRANSACTION) {
				send(Verb.ROLLBACK, "", "");
				return;
			}
			boolean inTransaction = state() == SessionState.TRANSACTION;
			String name = "n" + random.nextInt(3);
			switch (random.nextInt(8)) {
				case 0 -> {
					send(Verb.SET, name, "v" + step);
					this.variables.put(name, "v" + step);
				}
				case 1 -> {
					boolean writes = random.nextBoolean();
					String shape = "shape" + (step % 5);
					send(writes ? Verb.PREPARE_WRITE : Verb.PREPARE_READ, name, shape);
					this.prepared.put(name, (writes ? "WRITE " : "READ ") + shape);
				}
				case 2 -> send(inTransaction ? Verb.COMMIT : Verb.BEGIN, "", "");
				case 3 -> send(inTransaction ? Verb.ROLLBACK : Verb.BEGIN, "", "");
				case 4, 5 -> execute(name, "i" + step, expectations);
				default -> {
					Verb verb = random.nextBoolean() ? Verb.READ : Verb.WRITE;
					expectations.put("i" + step, new Expectation(verb + " i" + step, Map.copyOf(this.variables)));
					send(verb, "i" + step, "");
				}
			}
		}

		private void execute(String name, String item, Map<String, Expectation> expectations) {
			if (this.prepared.containsKey(name)) {
				expectations.put(item,
						new Expectation(this.prepared.get(name) + " " + item, Map.copyOf(this.variables)));
				send(Verb.EXECUTE, name, item);
			}
		}

		private void send(Verb verb, String name, String argument) {
			this.sent++;
			this.client.send(verb, name, argument, 0);
		}

	}

}
