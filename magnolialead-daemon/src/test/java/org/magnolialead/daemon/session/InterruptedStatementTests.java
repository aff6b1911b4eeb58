package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.daemon.session.ClientStatement.Verb;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of statements that end without the answer of a member, for sessions whose
 * statements are executed here and for sessions whose statements are forwarded.
 */
class InterruptedStatementTests {

	/** Errors that promise that nothing of the client's attempt is kept. */
	private static final Set<StatementError> PROMISES = Set.of(StatementError.OVERLOADED, StatementError.ROLLED_BACK,
			StatementError.BEHIND, StatementError.NOT_PRIMARY, StatementError.WRONG_MEMBER,
			StatementError.TOO_MANY_CONNECTIONS);

	static Stream<Arguments> cells() {
		List<Arguments> cells = new ArrayList<>();
		for (boolean forwarded : new boolean[] { true, false }) {
			for (Pending pending : Pending.values()) {
				for (Interruption interruption : Interruption.values()) {
					cells.add(Arguments.of(forwarded, pending, interruption));
				}
			}
		}
		return cells.stream();
	}

	/**
	 * Guards against a promise that nothing is kept for a statement that was sent and
	 * takes effect, when a daemon shuts down, an answer or a connection is lost, a member
	 * is gone or the deadline passes.
	 * @param forwarded whether another daemon executes the statements
	 * @param pending the statement in progress
	 * @param interruption what happens before its answer
	 */
	@ParameterizedTest(name = "forwarded {0}: {1}, {2}")
	@MethodSource("cells")
	void promiseIsOnlyGivenForAStatementThatTakesNoEffect(boolean forwarded, Pending pending,
			Interruption interruption) {
		SimulatedFleet fleet = new SimulatedFleet();
		TestClient client = new TestClient(fleet.loop(), forwarded ? fleet.forwarding() : fleet.holder(), "primary");
		pending.prepare(client);
		LogPosition before = fleet.group().member("a").position();
		interruption.beforeStatement(fleet);
		StatementReply reply = pending.send(client);
		interruption.whileStatementIsPending(fleet);
		fleet.loop().advance(2_000);
		if (reply == null && !client.replies().isEmpty()) {
			reply = client.replies().get(client.replies().size() - 1);
		}
		boolean tookEffect = !fleet.group().member("a").position().equals(before);
		if (reply != null && reply.error() != null && PROMISES.contains(reply.error())) {
			assertThat(tookEffect).as("effect of a statement that was answered %s", reply.error()).isFalse();
		}
		assertThat(reply != null || client.isClosed()).as("an answer or a closed connection").isTrue();
		assertThat(fleet.group().member("a").openTransactions()).isZero();
	}

	private enum Pending {

		SINGLE_READ(false, false, Verb.READ),

		SINGLE_WRITE(false, false, Verb.WRITE),

		FIRST_OF_TRANSACTION(true, false, Verb.WRITE),

		LATER_IN_TRANSACTION(true, true, Verb.WRITE),

		COMMIT(true, true, Verb.COMMIT);

		/**
		 * Time until the interruption. The statement has run at the member by then.
		 */
		private static final long PENDING_MILLISECONDS = 30;

		private final boolean begun;

		private final boolean written;

		private final Verb verb;

		Pending(boolean begun, boolean written, Verb verb) {
			this.begun = begun;
			this.written = written;
			this.verb = verb;
		}

		/**
		 * Brings the session to the state before the statement.
		 * @param client the client
		 */
		void prepare(TestClient client) {
			if (this.begun) {
				client.send(Verb.BEGIN);
			}
			if (this.written) {
				client.send(Verb.WRITE, "1", "x");
			}
		}

		/**
		 * Sends the statement.
		 * @param client the client
		 * @return its answer, or {@code null} if there is none yet
		 */
		StatementReply send(TestClient client) {
			String item = (this.verb == Verb.COMMIT) ? "" : "2";
			String data = (this.verb == Verb.WRITE) ? "y" : "";
			return client.send(this.verb, item, data, PENDING_MILLISECONDS);
		}

	}

	private enum Interruption {

		SHUTDOWN_OF_THE_HOLDER_BEFORE_THE_STATEMENT_IS_SENT {

			@Override
			void beforeStatement(SimulatedFleet fleet) {
				fleet.group().member("a").refuseStatements(Integer.MAX_VALUE);
			}

			@Override
			void whileStatementIsPending(SimulatedFleet fleet) {
				fleet.holder().closeAll();
			}

		},

		SHUTDOWN_OF_THE_HOLDER {

			@Override
			void whileStatementIsPending(SimulatedFleet fleet) {
				fleet.holder().closeAll();
			}

		},

		SHUTDOWN_OF_THE_FORWARDING_DAEMON {

			@Override
			void whileStatementIsPending(SimulatedFleet fleet) {
				fleet.forwarding().closeAll();
			}

		},

		SHUTDOWN_OF_BOTH {

			@Override
			void whileStatementIsPending(SimulatedFleet fleet) {
				fleet.holder().closeAll();
				fleet.forwarding().closeAll();
			}

		},

		LOST_LINK {

			@Override
			void whileStatementIsPending(SimulatedFleet fleet) {
				fleet.peers().closeConnections(fleet.holderAddress());
			}

		},

		DEADLINE {

			@Override
			void whileStatementIsPending(SimulatedFleet fleet) {
				fleet.loop().advance(900);
			}

		},

		MEMBER_GONE {

			@Override
			void whileStatementIsPending(SimulatedFleet fleet) {
				fleet.group().member("a").crash();
			}

		};

		/**
		 * Prepares the fault before the statement is sent. By default the answer of the
		 * member is lost, so that the statement stays pending.
		 * @param fleet the fleet
		 */
		void beforeStatement(SimulatedFleet fleet) {
			fleet.group().member("a").loseAnswers(1);
		}

		/**
		 * Interrupts the statement.
		 * @param fleet the fleet
		 */
		abstract void whileStatementIsPending(SimulatedFleet fleet);

	}

}
