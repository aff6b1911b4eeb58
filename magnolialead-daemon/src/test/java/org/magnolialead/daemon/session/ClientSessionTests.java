package org.magnolialead.daemon.session;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.FreshnessRule;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.KeyDigest;
import org.magnolialead.api.Route;
import org.magnolialead.api.RouteTable;
import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.daemon.session.ClientStatement.Verb;
import org.magnolialead.engine.session.ConnectionState;
import org.magnolialead.engine.session.SessionLimits;
import org.magnolialead.engine.session.SessionMemory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of sessions with simulated members that keep the state of each connection.
 */
class ClientSessionTests {

	private static final int IDLE_TRANSACTION_MILLISECONDS = 3_000;

	private final ManualLoop loop = new ManualLoop();

	private final FakeGroup group = new FakeGroup(this.loop, "a", "b", "c");

	private long wallClockOffset;

	private final SessionService service = new SessionService("daemon-1", "zone", this.loop, this.loop,
			() -> this.loop.milliseconds() + this.wallClockOffset, this.group, ForwardingLink.NONE);

	@BeforeEach
	void start() {
		this.service.start();
		this.service.viewChanged(view(this.group.view("", 0, ""), 1));
		// Additional connections are permitted only after the startup delay.
		this.loop.advance(1_100);
	}

	private static FleetView view(GroupView group, long number) {
		Map<String, Route> routes = new HashMap<>();
		List.of(new Route("primary", FakeGroup.NAME, FreshnessRule.LATEST, 0, 0, 800),
				new Route("session", FakeGroup.NAME, FreshnessRule.SESSION, 2_500, 1, 800),
				new Route("bounded", FakeGroup.NAME, FreshnessRule.MAXIMUM_AGE, 1_500, 2, 1_200))
			.forEach((route) -> routes.put(route.database(), route));
		RouteTable table = new RouteTable(number, routes, Map.of(FakeGroup.NAME, 18), IDLE_TRANSACTION_MILLISECONDS,
				"");
		FleetConfiguration initial = FleetConfiguration.initial();
		FleetConfiguration configuration = new FleetConfiguration(number, initial.profiles(), initial.rankFloors(),
				initial.queueLimit(), table);
		return new FleetView(number, configuration, Map.of(FakeGroup.NAME, group), Map.of());
	}

	private TestClient client(String database) {
		return new TestClient(this.loop, this.service, database);
	}

	private FakeGroup.Execution lastExecution() {
		return this.group.executions().get(this.group.executions().size() - 1);
	}

	/**
	 * Guards against an unexpected exception that cancels the periodic tasks, after which
	 * a daemon accepts clients but serves none.
	 */
	@Test
	void periodicTasksContinueAfterAnException() {
		this.group.throwOnDial(true);
		this.group.member("a").closeConnections();
		this.loop.advance(500);
		this.group.throwOnDial(false);
		this.loop.advance(500);
		assertThat(client("primary").send(Verb.WRITE, "item", "x").isDone()).isTrue();
	}

	/**
	 * Guards against a client whose connection is closed at a shutdown without an answer
	 * to the statement that is running.
	 */
	@Test
	void shutdownAnswersTheStatementInProgress() {
		this.group.member("a").loseAnswers(1);
		TestClient client = client("primary");
		assertThat(client.send(Verb.WRITE, "1", "x", 50)).isNull();
		this.service.closeAll();
		assertThat(client.replies()).extracting(StatementReply::error).containsExactly(StatementError.UNKNOWN_OUTCOME);
		assertThat(client.isClosed()).isTrue();
	}

	/**
	 * Tests of the limits of what sessions keep.
	 */
	@Nested
	class Memory {

		private final SessionMemory memory = ClientSessionTests.this.service.memory();

		/**
		 * Guards against a name on a member connection that runs the text of another
		 * statement, and against texts that stay after their sessions: clients that
		 * prepare one text after the other ended the daemon with a full heap.
		 */
		@Test
		void textsOfManySessionsRunAsPreparedAndGoWithThem() {
			for (int number = 0; number < 3 * ConnectionState.MAXIMUM_PREPARED_STATEMENTS; number++) {
				TestClient client = client("primary");
				client.send(Verb.PREPARE_WRITE, "s1", "closed" + number, 1);
				client.send(Verb.CLOSE, "s1", "", 1);
				client.send(Verb.PREPARE_WRITE, "s1", "shape" + number, 1);
				assertThat(client.send(Verb.EXECUTE, "s1", "item", 20).isDone()).isTrue();
				assertThat(lastExecution().text()).isEqualTo("WRITE shape" + number + " item");
				client.session().clientDisconnected();
			}
			assertThat(this.memory.heldBytes()).isZero();
			assertThat(this.memory.statements()).isLessThanOrEqualTo(SessionMemory.MAXIMUM_UNUSED_STATEMENTS);
		}

		/**
		 * Guards against a refused statement that has an effect: the transaction and the
		 * values before it go on.
		 */
		@Test
		void statementBeyondALimitOfTheSessionChangesNothing() {
			TestClient client = client("primary");
			client.send(Verb.SET, "language", "vi");
			client.send(Verb.PREPARE_WRITE, "s1", "shape");
			client.send(Verb.BEGIN);
			client.send(Verb.WRITE, "1", "x");
			String tooLarge = "x".repeat(SessionLimits.DEFAULT_BYTES + 1);
			for (Verb verb : List.of(Verb.PREPARE_READ, Verb.PREPARE_WRITE, Verb.SET)) {
				StatementReply refused = client.send(verb, "s1", tooLarge);
				assertThat(refused.error()).isEqualTo(StatementError.MALFORMED);
				assertThat(refused.state()).isEqualTo(SessionState.TRANSACTION);
			}
			assertThat(client.send(Verb.EXECUTE, "s1", "item").isDone()).isTrue();
			assertThat(lastExecution().text()).isEqualTo("WRITE shape item");
			assertThat(lastExecution().sessionVariables()).isEqualTo(Map.of("language", "vi"));
			assertThat(client.send(Verb.COMMIT).state()).isEqualTo(SessionState.IDLE);
		}

		/**
		 * Guards against a transaction that is committed after its client was told that
		 * nothing of it is kept.
		 */
		@Test
		void statementBeyondTheLimitOfTheDaemonRollsTheTransactionBack() {
			TestClient client = client("primary");
			client.send(Verb.BEGIN);
			client.send(Verb.WRITE, "1", "x");
			while (this.memory.heldBytes() < this.memory.limits().totalBytes()) {
				this.memory.acquire(true, "x".repeat(SessionLimits.DEFAULT_BYTES) + this.memory.statements());
			}
			StatementReply refused = client.send(Verb.SET, "language", "vi");
			assertThat(refused.error()).isEqualTo(StatementError.OVERLOADED);
			assertThat(refused.state()).isEqualTo(SessionState.FAILED_TRANSACTION);
			assertThat(client.send(Verb.COMMIT).error()).isEqualTo(StatementError.ROLLED_BACK);
			assertThat(ClientSessionTests.this.group.member("a").openTransactions()).isZero();
		}

	}

	@Nested
	class Isolation {

		@Test
		void connectionCarriesValuesOfTheSessionItServes() {
			TestClient first = client("primary");
			TestClient second = client("primary");
			first.send(Verb.SET, "language", "vi");
			second.send(Verb.SET, "zone", "west");
			first.send(Verb.WRITE, "1", "x");
			assertThat(lastExecution().sessionVariables()).isEqualTo(Map.of("language", "vi"));
			second.send(Verb.WRITE, "2", "y");
			assertThat(lastExecution().sessionVariables()).isEqualTo(Map.of("zone", "west"));
			first.send(Verb.WRITE, "3", "z");
			assertThat(lastExecution().sessionVariables()).isEqualTo(Map.of("language", "vi"));
		}

		@Test
		void preparedStatementsWithTheSameNameAreSeparatePerSession() {
			TestClient first = client("primary");
			TestClient second = client("primary");
			first.send(Verb.PREPARE_WRITE, "s1", "shape-one");
			second.send(Verb.PREPARE_WRITE, "s1", "shape-two");
			first.send(Verb.EXECUTE, "s1", "item");
			assertThat(lastExecution().text()).isEqualTo("WRITE shape-one item");
			second.send(Verb.EXECUTE, "s1", "item");
			assertThat(lastExecution().text()).isEqualTo("WRITE shape-two item");
		}

		@Test
		void closedPreparedStatementIsUnknown() {
			TestClient client = client("primary");
			client.send(Verb.PREPARE_READ, "s1", "shape");
			client.send(Verb.CLOSE, "s1", "");
			assertThat(client.send(Verb.EXECUTE, "s1", "item").error()).isEqualTo(StatementError.NOT_PREPARED);
		}

		@Test
		void noStatementRunsOnTheConnectionOfAnOpenTransaction() {
			TestClient inTransaction = client("primary");
			inTransaction.send(Verb.BEGIN);
			inTransaction.send(Verb.WRITE, "1", "x");
			int connection = lastExecution().connection();
			for (int count = 0; count < 5; count++) {
				client("primary").send(Verb.WRITE, "2", "y");
				assertThat(lastExecution().connection()).isNotEqualTo(connection);
			}
			inTransaction.send(Verb.WRITE, "3", "z");
			assertThat(lastExecution().connection()).isEqualTo(connection);
			inTransaction.send(Verb.COMMIT);
			assertThat(lastExecution().connection()).isEqualTo(connection);
		}

	}

	@Nested
	class Freshness {

		@Test
		void readOfAPrimaryRouteRunsInATransactionOfThePrimary() {
			client("primary").send(Verb.READ, "1", "");
			assertThat(lastExecution().member()).isEqualTo("a");
			assertThat(lastExecution().inTransaction()).isTrue();
		}

		@Test
		void demotedPrimaryServesNoReadOfAPrimaryRoute() {
			TestClient client = client("primary");
			client.send(Verb.READ, "1", "");
			ClientSessionTests.this.group.promote("b");
			assertThat(client.send(Verb.READ, "1", "", 400).isDone()).isTrue();
			assertThat(lastExecution().member()).isEqualTo("b");
		}

		@Test
		void sessionReadsItsOwnWriteWhileReplicasAreBehind() {
			TestClient client = client("session");
			client.send(Verb.WRITE, "1", "x");
			client.send(Verb.READ, "1", "");
			assertThat(lastExecution().member()).isEqualTo("a");
		}

		@Test
		void replicaWithinTheBoundServesBoundedRead() {
			client("bounded").send(Verb.READ, "1", "");
			assertThat(lastExecution().member()).isIn("b", "c");
		}

		@Test
		void boundedReadIncludesCommitsOlderThanTheBound() {
			TestClient writer = client("primary");
			writer.send(Verb.WRITE, "1", "x");
			ClientSessionTests.this.loop.advance(2_000);
			client("bounded").send(Verb.READ, "1", "");
			assertThat(lastExecution().member()).isEqualTo("a");
		}

		@Test
		void knownPositionsAreDiscardedAfterASuspension() {
			TestClient client = client("bounded");
			client.send(Verb.READ, "1", "");
			assertThat(lastExecution().member()).isIn("b", "c");
			// The VM was suspended, and another daemon acknowledged a commit meanwhile.
			ClientSessionTests.this.wallClockOffset += 5_000;
			ClientSessionTests.this.group.member("a").position(1, 7);
			client.send(Verb.READ, "1", "");
			assertThat(lastExecution().member()).isEqualTo("a");
		}

	}

	@Nested
	class LostAnswers {

		@Test
		void writeWhoseAnswerIsLostHasAnUnknownOutcome() {
			TestClient client = client("primary");
			ClientSessionTests.this.group.member("a").loseAnswers(1);
			StatementReply reply = client.send(Verb.WRITE, "1", "x", 1_000);
			assertThat(reply.error()).isEqualTo(StatementError.TIMED_OUT);
			assertThat(ClientSessionTests.this.group.executions()).hasSize(1);
		}

		@Test
		void readWhoseAnswerIsLostIsRetriedAtAnotherMember() {
			TestClient client = client("bounded");
			ClientSessionTests.this.group.member("b").loseAnswers(1);
			ClientSessionTests.this.group.member("c").loseAnswers(1);
			assertThat(client.send(Verb.READ, "1", "", 600).isDone()).isTrue();
		}

		@Test
		void transactionWhoseAnswerIsLostIsRolledBack() {
			TestClient client = client("primary");
			client.send(Verb.BEGIN);
			ClientSessionTests.this.group.member("a").loseAnswers(1);
			StatementReply reply = client.send(Verb.WRITE, "1", "x", 600);
			assertThat(reply.error()).isIn(StatementError.OVERLOADED, StatementError.ROLLED_BACK);
			assertThat(reply.state()).isEqualTo(SessionState.FAILED_TRANSACTION);
			ClientSessionTests.this.loop.advance(1_000);
			assertThat(ClientSessionTests.this.group.member("a").position().index()).isZero();
		}

		/**
		 * Guards against connections that are kept for good because the answer to a
		 * rollback is lost, until nothing can be served any more.
		 */
		@Test
		void connectionsWhoseRollbackIsNotAnsweredAreReplaced() {
			FakeGroup.Member primary = ClientSessionTests.this.group.member("a");
			primary.loseAnswersOf((kind) -> kind == MemberCommand.Kind.ROLLBACK);
			for (int number = 0; number < 40; number++) {
				TestClient client = client("primary");
				client.send(Verb.BEGIN);
				client.send(Verb.WRITE, "1", "x");
				client.send(Verb.ROLLBACK);
			}
			primary.loseAnswersOf((kind) -> false);
			ClientSessionTests.this.loop.advance(3_000);
			assertThat(client("primary").send(Verb.WRITE, "1", "x").isDone()).isTrue();
			assertThat(primary.openTransactions()).isZero();
		}

		@Test
		void commitWhoseAnswerIsLostHasAnUnknownOutcome() {
			TestClient client = client("primary");
			client.send(Verb.BEGIN);
			client.send(Verb.WRITE, "1", "x");
			ClientSessionTests.this.group.member("a").loseAnswers(1);
			StatementReply reply = client.send(Verb.COMMIT, "", "", 1_000);
			assertThat(reply.error()).isEqualTo(StatementError.UNKNOWN_OUTCOME);
			assertThat(reply.state()).isEqualTo(SessionState.IDLE);
		}

		@Test
		void statementOfAMemberThatCrashesIsNotReportedAsNotRun() {
			TestClient client = client("primary");
			ClientSessionTests.this.group.member("a").loseAnswers(1);
			client.send(Verb.WRITE, "1", "x", 10);
			ClientSessionTests.this.group.member("a").crash();
			ClientSessionTests.this.loop.advance(100);
			assertThat(client.replies()).singleElement()
				.extracting(StatementReply::error)
				.isEqualTo(StatementError.UNKNOWN_OUTCOME);
		}

	}

	@Nested
	class Termination {

		@Test
		void idleTransactionIsRolledBackAndReportedToItsClient() {
			TestClient client = client("primary");
			client.send(Verb.BEGIN);
			client.send(Verb.WRITE, "1", "x", IDLE_TRANSACTION_MILLISECONDS + 1_000);
			assertThat(client.replies()).hasSize(2);
			assertThat(client.send(Verb.WRITE, "2", "y").error()).isEqualTo(StatementError.ROLLED_BACK);
			assertThat(client.send(Verb.ROLLBACK).state()).isEqualTo(SessionState.IDLE);
			assertThat(ClientSessionTests.this.group.member("a").position().index()).isZero();
		}

		@Test
		void transactionOfADisconnectedClientIsRolledBack() {
			TestClient client = client("primary");
			client.send(Verb.BEGIN);
			client.send(Verb.WRITE, "1", "x");
			client.session().clientDisconnected();
			ClientSessionTests.this.loop.advance(100);
			assertThat(ClientSessionTests.this.group.member("a").position().index()).isZero();
			assertThat(client("primary").send(Verb.WRITE, "2", "y").isDone()).isTrue();
		}

		@Test
		void onlyIdleSessionsAreClosedAtShutdown() {
			TestClient idle = client("primary");
			TestClient busy = client("primary");
			busy.send(Verb.BEGIN);
			assertThat(ClientSessionTests.this.service.closeIdle()).isOne();
			assertThat(idle.isClosed()).isTrue();
			assertThat(busy.isClosed()).isFalse();
			assertThat(busy.send(Verb.COMMIT).isDone()).isTrue();
			assertThat(ClientSessionTests.this.service.closeIdle()).isZero();
		}

		@Test
		void commitOfAFailedTransactionIsNotReportedAsDone() {
			TestClient client = client("primary");
			client.send(Verb.BEGIN);
			client.send(Verb.EXECUTE, "unknown", "item");
			assertThat(client.send(Verb.READ, "1", "").error()).isEqualTo(StatementError.MALFORMED);
			StatementReply reply = client.send(Verb.COMMIT);
			assertThat(reply.error()).isIn(StatementError.OVERLOADED, StatementError.ROLLED_BACK);
			assertThat(reply.state()).isEqualTo(SessionState.IDLE);
		}

	}

	@Nested
	class Startup {

		private final SessionService starting = new SessionService("daemon-1", "zone", ClientSessionTests.this.loop,
				ClientSessionTests.this.loop, ClientSessionTests.this.loop::milliseconds, ClientSessionTests.this.group,
				ForwardingLink.NONE);

		@Test
		void clientWaitsUntilRoutesAreKnown() {
			List<Boolean> found = new ArrayList<>();
			this.starting.whenServing(() -> found
				.add(this.starting.open("primary", KeyDigest.of("key", StandardCharsets.US_ASCII), new IgnoredChannel())
					.refusal() == null));
			assertThat(found).isEmpty();
			this.starting.viewChanged(view(ClientSessionTests.this.group.view("", 0, ""), 1));
			ClientSessionTests.this.loop.advance(1);
			assertThat(found).containsExactly(true);
		}

		@Test
		void startingDaemonOpensOnlyOneConnection() {
			this.starting.start();
			this.starting.viewChanged(view(ClientSessionTests.this.group.view("", 0, ""), 1));
			ClientSessionTests.this.loop.advance(1_000);
			MemberPool primary = this.starting.router(FakeGroup.NAME).primary().orElseThrow();
			assertThat(primary.connectionCount()).isOne();
		}

	}

	private static final class IgnoredChannel implements ClientChannel {

		@Override
		public void reply(StatementReply reply) {
			throw new IllegalStateException("no answer is expected");
		}

		@Override
		public void close() {
			throw new IllegalStateException("no close is expected");
		}

	}

	@Nested
	class Refusals {

		@Test
		void statementThatNoMemberCanServeIsRefusedBeforeItsDeadline() {
			for (String member : List.of("a", "b", "c")) {
				ClientSessionTests.this.group.member(member).crash();
			}
			ClientSessionTests.this.loop.advance(100);
			TestClient client = client("primary");
			long sentAt = ClientSessionTests.this.loop.milliseconds();
			client.send(Verb.WRITE, "1", "x", 1_000);
			assertThat(client.replies()).singleElement()
				.extracting(StatementReply::error)
				.isEqualTo(StatementError.OVERLOADED);
			assertThat(client.repliedAt().get(0) - sentAt).isLessThan(600);
		}

		@Test
		void removedDatabaseIsRefusedAfterTheCurrentTransaction() {
			TestClient client = client("primary");
			RouteTable none = new RouteTable(2, Map.of(), Map.of(FakeGroup.NAME, 18), IDLE_TRANSACTION_MILLISECONDS,
					"");
			FleetConfiguration initial = FleetConfiguration.initial();
			client.send(Verb.BEGIN);
			ClientSessionTests.this.service.viewChanged(new FleetView(2,
					new FleetConfiguration(2, initial.profiles(), initial.rankFloors(), initial.queueLimit(), none),
					Map.of(FakeGroup.NAME, ClientSessionTests.this.group.view("", 0, "")), Map.of()));
			assertThat(client.send(Verb.WRITE, "1", "x").isDone()).isTrue();
			assertThat(client.send(Verb.COMMIT).isDone()).isTrue();
			assertThat(client.send(Verb.READ, "1", "").error()).isEqualTo(StatementError.UNKNOWN_DATABASE);
		}

	}

	/**
	 * Tests with members whose queues are full or that accept no connections.
	 */
	@Nested
	class Overload {

		/**
		 * Guards against transactions that are rolled back because one statement was
		 * refused by a full queue. In measurements the member kept each of these
		 * transactions open.
		 */
		@Test
		void refusedStatementOfATransactionIsResent() {
			TestClient client = client("primary");
			client.send(Verb.BEGIN);
			assertThat(client.send(Verb.WRITE, "item", "x").isDone()).isTrue();
			ClientSessionTests.this.group.member("a").refuseStatements(5);
			assertThat(client.send(Verb.WRITE, "other", "y").isDone()).isTrue();
			ClientSessionTests.this.group.member("a").refuseStatements(5);
			assertThat(client.send(Verb.COMMIT).isDone()).isTrue();
			assertThat(ClientSessionTests.this.group.executions()).hasSize(3)
				.allMatch(FakeGroup.Execution::inTransaction);
		}

		/**
		 * Guards against a late refusal by a daemon without a connection to the primary,
		 * after which its client can try only two daemons before the deadline. Also
		 * guards against an immediate refusal, which uses up the client's retries before
		 * a connection becomes free.
		 */
		@Test
		void statementWithoutAConnectionIsRefusedInTimeToRetry() {
			ClientSessionTests.this.group.member("a").connectionLimitReached(true);
			ClientSessionTests.this.loop.advance(200);
			TestClient waiting = client("primary");
			assertThat(waiting.send(Verb.WRITE, "item", "x", 200)).isNull();
			ClientSessionTests.this.loop.advance(150);
			StatementReply reply = waiting.replies().get(0);
			assertThat(reply.error()).isEqualTo(StatementError.OVERLOADED);
			ClientSessionTests.this.group.member("a").connectionLimitReached(false);
			ClientSessionTests.this.loop.advance(500);
			assertThat(client("primary").send(Verb.WRITE, "item", "x").isDone()).isTrue();
		}

		/**
		 * Guards against a statement that waits until shortly before its deadline, which
		 * leaves its client no time for a retry.
		 */
		@Test
		void overloadedStatementIsRefusedBeforeItsDeadline() {
			TestClient client = client("primary");
			ClientSessionTests.this.group.member("a").refuseStatements(Integer.MAX_VALUE);
			StatementReply reply = client.send(Verb.WRITE, "item", "x", 600);
			assertThat(reply.error()).isEqualTo(StatementError.OVERLOADED);
			client.send(Verb.BEGIN);
			reply = client.send(Verb.WRITE, "item", "x", 600);
			assertThat(reply.error()).isIn(StatementError.OVERLOADED, StatementError.ROLLED_BACK);
			assertThat(ClientSessionTests.this.group.executions()).isEmpty();
		}

	}

}
