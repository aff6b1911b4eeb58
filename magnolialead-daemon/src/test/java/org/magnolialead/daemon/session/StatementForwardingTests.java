package org.magnolialead.daemon.session;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Outcome;
import org.magnolialead.api.Route;
import org.magnolialead.api.message.ForwardStatementRequest;
import org.magnolialead.api.message.ForwardStatementRequest.Action;
import org.magnolialead.api.message.ForwardStatementRequest.TransactionScope;
import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.daemon.session.ClientStatement.Verb;
import org.magnolialead.transport.peer.PeerCodec;
import org.magnolialead.transport.peer.PeerHandler;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests of a fleet with more daemons than connections per member, in which daemons
 * forward statements to the holders of the connections.
 */
class StatementForwardingTests {

	private final SimulatedFleet fleet = new SimulatedFleet();

	private final ManualLoop loop = this.fleet.loop();

	private final FakeGroup group = this.fleet.group();

	private final SimulatedPeers peers = this.fleet.peers();

	private TestClient client(String database) {
		return new TestClient(this.loop, this.fleet.forwarding(), database);
	}

	private List<String> executedTexts() {
		return this.group.executions().stream().map(FakeGroup.Execution::text).toList();
	}

	private void killCandidates() {
		this.fleet.candidates().forEach((candidate) -> this.peers.kill(candidate.peerAddress()));
	}

	/**
	 * Guards against a fleet in which nearly every statement opens a connection, because
	 * no daemon may keep one.
	 */
	@Test
	void fleetKeepsFewConnectionsAndOpensNoMore() {
		int opened = this.group.connectionsOpened();
		assertThat(this.group.member("a").openConnections(false)).isBetween(1L, (long) SimulatedFleet.CONNECTION_LIMIT);
		for (int round = 0; round < 3; round++) {
			this.fleet.services().values().forEach((service) -> {
				TestClient client = new TestClient(this.loop, service, "session");
				assertThat(client.send(Verb.WRITE, "1", "x", 10).isDone()).isTrue();
				assertThat(client.send(Verb.READ, "1", "", 10).isDone()).isTrue();
			});
			this.loop.advance(500);
		}
		assertThat(this.group.connectionsOpened()).isEqualTo(opened);
	}

	@Nested
	class Statements {

		@Test
		void variablesAndPreparedStatementsFollowTheSession() {
			TestClient client = client("primary");
			client.send(Verb.SET, "language", "vi");
			client.send(Verb.PREPARE_WRITE, "s1", "shape");
			assertThat(client.send(Verb.EXECUTE, "s1", "item").isDone()).isTrue();
			FakeGroup.Execution execution = StatementForwardingTests.this.group.executions().get(0);
			assertThat(execution.text()).isEqualTo("WRITE shape item");
			assertThat(execution.sessionVariables()).isEqualTo(Map.of("language", "vi"));
		}

		/**
		 * Guards against texts that a daemon keeps for others after their statements, and
		 * against a text that each forwarded statement prepares again.
		 */
		@Test
		void textsOfForwardedStatementsGoWithThem() {
			TestClient client = client("primary");
			client.send(Verb.PREPARE_WRITE, "s1", "shape");
			client.send(Verb.EXECUTE, "s1", "1");
			StatementForwardingTests.this.group.member("a").fail((kind) -> kind == MemberCommand.Kind.PREPARE_WRITE);
			assertThat(client.send(Verb.EXECUTE, "s1", "2").isDone()).isTrue();
			client.send(Verb.BEGIN);
			assertThat(client.send(Verb.EXECUTE, "s1", "3").isDone()).isTrue();
			assertThat(heldBytesOfOthers()).isPositive();
			client.send(Verb.ROLLBACK);
			assertThat(heldBytesOfOthers()).isZero();
		}

		private long heldBytesOfOthers() {
			return StatementForwardingTests.this.fleet.services()
				.values()
				.stream()
				.filter((service) -> service != StatementForwardingTests.this.fleet.forwarding())
				.mapToLong((service) -> service.memory().heldBytes())
				.sum();
		}

		@Test
		void transactionRunsOnOneConnectionAndIsCommitted() {
			TestClient client = client("primary");
			client.send(Verb.BEGIN);
			assertThat(client.send(Verb.WRITE, "1", "x").state()).isEqualTo(SessionState.TRANSACTION);
			assertThat(client.send(Verb.READ, "1", "").isDone()).isTrue();
			assertThat(client.send(Verb.COMMIT).state()).isEqualTo(SessionState.IDLE);
			assertThat(executedTexts()).containsExactly("WRITE 1 x", "READ 1", "COMMIT");
			assertThat(StatementForwardingTests.this.group.executions()).extracting(FakeGroup.Execution::connection)
				.containsOnly(StatementForwardingTests.this.group.executions().get(0).connection());
			assertThat(StatementForwardingTests.this.group.member("a").openTransactions()).isZero();
		}

		/**
		 * Guards against a read that misses a write of its own session because another
		 * daemon executed it.
		 */
		@Test
		void sessionReadsItsOwnForwardedWrite() {
			TestClient client = client("session");
			client.send(Verb.WRITE, "1", "x");
			client.send(Verb.READ, "1", "");
			assertThat(StatementForwardingTests.this.group.executions().get(1).member()).isEqualTo("a");
		}

		/**
		 * Guards against a statement without an answer because it is too large for a
		 * message between daemons.
		 */
		@Test
		void oversizedStatementIsExecutedByTheDaemonItself() {
			String data = "x".repeat(PeerCodec.MAXIMUM_FRAME_BYTES);
			assertThat(client("primary").send(Verb.WRITE, "1", data).isDone()).isTrue();
			TestClient transaction = client("primary");
			transaction.send(Verb.BEGIN);
			assertThat(transaction.send(Verb.WRITE, "1", data).isDone()).isTrue();
			assertThat(transaction.send(Verb.COMMIT).isDone()).isTrue();
		}

		@Test
		void rollbackReachesTheMember() {
			TestClient client = client("primary");
			client.send(Verb.BEGIN);
			client.send(Verb.WRITE, "1", "x");
			assertThat(client.send(Verb.ROLLBACK).isDone()).isTrue();
			assertThat(StatementForwardingTests.this.group.member("a").openTransactions()).isZero();
		}

	}

	@Nested
	class Failures {

		/**
		 * Guards against statements that fail although other daemons could serve them,
		 * while the fleet view still shows a dead daemon.
		 */
		@Test
		void standbyServesWhenTheHolderHasDied() {
			StatementForwardingTests.this.peers.kill(StatementForwardingTests.this.fleet.holderAddress());
			assertThat(client("primary").send(Verb.WRITE, "1", "x", 200).isDone()).isTrue();
			TestClient transaction = client("primary");
			transaction.send(Verb.BEGIN);
			assertThat(transaction.send(Verb.WRITE, "2", "y").isDone()).isTrue();
			assertThat(transaction.send(Verb.COMMIT).isDone()).isTrue();
		}

		@Test
		void daemonServesItselfWhenNoCandidateAnswers() {
			killCandidates();
			assertThat(client("primary").send(Verb.WRITE, "1", "x", 500).isDone()).isTrue();
		}

		/**
		 * Guards against a statement that waits past its time because a daemon without
		 * work checks its queues rarely.
		 */
		@Test
		void waitingStatementIsRefusedInTimeByADaemonWithoutWork() {
			killCandidates();
			List.of("a", "b", "c").forEach((name) -> StatementForwardingTests.this.group.member(name).crash());
			assertThat(client("primary").send(Verb.WRITE, "1", "x", 400).error()).isEqualTo(StatementError.OVERLOADED);
		}

		/**
		 * Guards against a write that runs twice, or is reported as not run, after the
		 * answer of the other daemon was lost.
		 */
		@Test
		void writeWhoseAnswerIsLostHasAnUnknownOutcome() {
			StatementForwardingTests.this.peers.loseAnswers(1);
			assertThat(client("primary").send(Verb.WRITE, "1", "x", 800).error())
				.isEqualTo(StatementError.UNKNOWN_OUTCOME);
			assertThat(executedTexts()).containsExactly("WRITE 1 x");
		}

		@Test
		void readWhoseAnswerIsLostIsRunAgain() {
			StatementForwardingTests.this.peers.loseAnswers(1);
			assertThat(client("primary").send(Verb.READ, "1", "", 800).isDone()).isTrue();
		}

		/**
		 * Guards against a promise that nothing is kept although a commit was sent.
		 */
		@Test
		void commitWhoseAnswerIsLostHasAnUnknownOutcome() {
			TestClient client = client("primary");
			client.send(Verb.BEGIN);
			client.send(Verb.WRITE, "1", "x");
			StatementForwardingTests.this.peers.loseAnswers(1);
			assertThat(client.send(Verb.COMMIT, "", "", 800).error()).isEqualTo(StatementError.UNKNOWN_OUTCOME);
		}

		/**
		 * Guards against a transaction that another daemon keeps open, or commits, after
		 * its client was told that it is rolled back.
		 */
		@Test
		void transactionIsRolledBackWhenItsConnectionIsLost() {
			TestClient client = client("primary");
			client.send(Verb.BEGIN);
			client.send(Verb.WRITE, "1", "x");
			StatementForwardingTests.this.peers.closeConnections(StatementForwardingTests.this.fleet.holderAddress());
			StatementForwardingTests.this.loop.advance(10);
			assertThat(StatementForwardingTests.this.group.member("a").openTransactions()).isZero();
			assertThat(client.send(Verb.COMMIT).error()).isEqualTo(StatementError.ROLLED_BACK);
			assertThat(executedTexts()).containsExactly("WRITE 1 x");
		}

		@Test
		void frozenHolderFailsTheTransactionWithoutRunningItElsewhere() {
			TestClient client = client("primary");
			client.send(Verb.BEGIN);
			StatementForwardingTests.this.peers.freeze(StatementForwardingTests.this.fleet.holderAddress());
			assertThat(client.send(Verb.WRITE, "1", "x", 500).error()).isEqualTo(StatementError.ROLLED_BACK);
			assertThat(client.send(Verb.ROLLBACK).isDone()).isTrue();
			client.send(Verb.BEGIN);
			assertThat(client.send(Verb.WRITE, "2", "y").isDone()).isTrue();
			assertThat(executedTexts()).containsExactly("WRITE 2 y");
		}

		/**
		 * Guards against a transaction that occupies a connection after its client has
		 * disconnected.
		 */
		@Test
		void disconnectOfTheClientRollsTheTransactionBack() {
			TestClient client = client("primary");
			client.send(Verb.BEGIN);
			client.send(Verb.WRITE, "1", "x");
			SessionService holder = StatementForwardingTests.this.fleet.holder();
			assertThat(holder.closeIdle()).isOne();
			client.session().clientDisconnected();
			StatementForwardingTests.this.loop.advance(10);
			assertThat(holder.closeIdle()).isZero();
		}

		/**
		 * Guards against a transaction that occupies a connection for ever because its
		 * daemon was suspended.
		 */
		@Test
		void transactionOfASilentDaemonIsRolledBack() {
			ForwardedSession session = StatementForwardingTests.this.fleet.holder()
				.openForwarded(StatementForwardingTests.this.fleet.forwarding().routes().route("primary").orElseThrow(),
						"");
			session.run(new ForwardStatementRequest(session.route(), "", Map.of(), LogPosition.NONE, "id", Action.WRITE,
					"WRITE 1 x", null, new TransactionScope(1, true, false), 500_000));
			StatementForwardingTests.this.loop.advance(3_500);
			assertThat(StatementForwardingTests.this.group.member("a").openTransactions()).isOne();
			StatementForwardingTests.this.loop.advance(1_000);
			assertThat(StatementForwardingTests.this.group.member("a").openTransactions()).isZero();
		}

		/**
		 * Guards against an answer that is given to the next statement of its
		 * transaction, because that statement arrived first.
		 */
		@Test
		void statementThatArrivesBeforeTheAnswerOfTheOneBeforeIsRefused() {
			SessionService holder = StatementForwardingTests.this.fleet.holder();
			PeerHandler handler = holder.forwardingHandler();
			CompletableFuture<Object> first = handler.handle(statement("first", "WRITE 1 x", true));
			assertThatThrownBy(() -> handler.handle(statement("second", "WRITE 2 y", false))).isInstanceOfSatisfying(
					MagnolialeadException.class,
					(failure) -> assertThat(failure.code().outcome()).isEqualTo(Outcome.NOT_RUN));
			StatementForwardingTests.this.loop.advance(100);
			assertThat(first).isCompleted();
			assertThat(executedTexts()).containsExactly("WRITE 1 x");
		}

		private ForwardStatementRequest statement(String identifier, String text, boolean first) {
			Route route = StatementForwardingTests.this.fleet.forwarding().routes().route("primary").orElseThrow();
			return new ForwardStatementRequest(route, "", Map.of(), LogPosition.NONE, identifier, Action.WRITE, text,
					null, new TransactionScope(1, first, false), 500_000);
		}

		/**
		 * Guards against work of other daemons that is cut off at a shutdown without an
		 * answer.
		 */
		@Test
		void shutdownRollsBackForwardedTransactions() {
			TestClient client = client("primary");
			client.send(Verb.BEGIN);
			client.send(Verb.WRITE, "1", "x");
			StatementForwardingTests.this.fleet.holder().closeAll();
			assertThat(client.send(Verb.WRITE, "2", "y").error()).isEqualTo(StatementError.ROLLED_BACK);
			assertThat(StatementForwardingTests.this.group.member("a").openTransactions()).isZero();
		}

	}

}
