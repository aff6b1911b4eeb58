package org.magnolialead.daemon.session;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.engine.session.ConnectionState.AlignmentStep;
import org.magnolialead.engine.session.PreparedStatement;

/**
 * Aligns a member connection with a session. The missing steps are sent together and
 * their answers awaited, because a statement must not run before the member has confirmed
 * all of them. Steps that the member fails are repeated, which is safe because they are
 * idempotent.
 */
final class ConnectionAlignment {

	/** Maximum number of times that the missing steps are sent. */
	private static final int MAXIMUM_ROUNDS = 3;

	private final PooledConnection connection;

	private final Map<String, String> sessionVariables;

	private final PreparedStatement statement;

	private final Runnable aligned;

	private final Consumer<StatementReply> failed;

	private int rounds;

	private int pendingAnswers;

	private StatementReply firstFailure;

	ConnectionAlignment(PooledConnection connection, Map<String, String> sessionVariables, PreparedStatement statement,
			Runnable aligned, Consumer<StatementReply> failed) {
		this.connection = connection;
		this.sessionVariables = sessionVariables;
		this.statement = statement;
		this.aligned = aligned;
		this.failed = failed;
	}

	void start() {
		sendMissingSteps();
	}

	private void sendMissingSteps() {
		List<AlignmentStep> steps = this.connection.alignmentSteps(this.sessionVariables, this.statement);
		if (steps.isEmpty()) {
			finished(true);
			this.aligned.run();
			return;
		}
		this.rounds++;
		this.firstFailure = null;
		this.pendingAnswers = steps.size();
		int last = steps.size() - 1;
		// Answers arrive in order, so a timeout of the last one covers all of them.
		steps.subList(0, last).forEach((step) -> this.connection.sendStep(step, this.connection::send, this::answered));
		this.connection.sendStep(steps.get(last), this.connection::sendUnqueued, this::answered);
	}

	private void answered(StatementReply reply) {
		if (!reply.isDone() && this.firstFailure == null) {
			this.firstFailure = reply;
		}
		this.pendingAnswers--;
		if (this.pendingAnswers > 0) {
			return;
		}
		if (this.firstFailure == null || isRepeatable(this.firstFailure, reply.state())) {
			sendMissingSteps();
		}
		else {
			finished(false);
			this.failed.accept(failure(reply.state()));
		}
	}

	private void finished(boolean isAligned) {
		if (this.rounds > 0) {
			this.connection.pool().metrics().alignmentFinished(isAligned, this.rounds);
		}
	}

	private boolean isRepeatable(StatementReply failure, SessionState stateAfterwards) {
		boolean temporary = switch (failure.error()) {
			case FAILED, TIMED_OUT, OVERLOADED -> true;
			default -> false;
		};
		return temporary && this.connection.isOpen() && stateAfterwards != SessionState.FAILED_TRANSACTION
				&& this.rounds < MAXIMUM_ROUNDS;
	}

	private StatementReply failure(SessionState stateAfterwards) {
		if (!this.connection.isOpen()) {
			return StatementReply.CONNECTION_LOST;
		}
		StatementError error = this.firstFailure.error();
		return StatementReply.failed(error, "the member did not accept the session: " + this.firstFailure.detail(),
				stateAfterwards);
	}

}
