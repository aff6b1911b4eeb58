package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.engine.queue.QueueRefusal;
import org.magnolialead.engine.queue.ServiceTimes.Work;
import org.magnolialead.engine.session.PreparedStatement;
import org.magnolialead.engine.session.QueueAdmission;
import org.magnolialead.engine.session.ReadPlan;
import org.magnolialead.engine.session.StatementStage;

/**
 * Executes one statement outside a transaction at the members. A read is also sent to
 * another member if its answer is late. A write is resent only if the member reported
 * that it did not run.
 */
final class MemberStatement implements SingleStatement {

	/**
	 * Minimum time without an answer after which a read is also sent to another member.
	 */
	private static final long MINIMUM_HEDGE_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(150);

	/**
	 * Multiple of the smoothed service time of a member after which its answer counts as
	 * late.
	 */
	private static final int HEDGE_DELAY_FACTOR = 4;

	/**
	 * Time for which a connection stays open to receive an answer that is no longer
	 * needed.
	 */
	private static final long LATE_ANSWER_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long RETRY_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(15);

	/** Maximum number of attempts of one statement, including the first one. */
	private static final int MAXIMUM_ATTEMPTS = 6;

	/** Maximum number of hedged attempts of a read. */
	private static final int MAXIMUM_HEDGES = 2;

	private final StatementSession session;

	private final ClientStatement statement;

	private final PreparedStatement prepared;

	private final boolean writes;

	private final long deadline;

	private final long unavailableMemberTimeoutAt;

	private final long queueTimeoutAt;

	private final List<PooledConnection> pendingConnections = new ArrayList<>();

	/** Times in nanoseconds at which the connections were granted. */
	private final Map<PooledConnection, Long> grantedAt = new HashMap<>();

	private final Future<?> deadlineTimer;

	private Future<?> hedgeTimer;

	private ConnectionRequest connectionRequest;

	/** Number of members that received the statement and have not answered. */
	private int unansweredStatements;

	private int attempts;

	private int hedges;

	private boolean primaryOnly;

	private boolean finished;

	private StatementError lastError = StatementError.OVERLOADED;

	MemberStatement(StatementSession session, ClientStatement statement, PreparedStatement prepared, boolean writes,
			long deadline) {
		this.session = session;
		this.statement = statement;
		this.prepared = prepared;
		this.writes = writes;
		this.deadline = deadline;
		long now = session.context().now();
		this.unavailableMemberTimeoutAt = QueueAdmission.unavailableMemberTimeoutAt(now, deadline);
		this.queueTimeoutAt = QueueAdmission.queueTimeoutAt(now, deadline);
		this.deadlineTimer = session.context().schedule(deadline - now, this::deadlinePassed);
	}

	@Override
	public void start() {
		attempt(null);
	}

	private void attempt(MemberPool avoided) {
		this.attempts++;
		ReadPlan plan = (this.writes || this.primaryOnly) ? ReadPlan.PRIMARY
				: this.session.readPlan(this.statement.receivedAt());
		this.connectionRequest = new ConnectionRequest(this.session.route(), this.session.account(), Work.STATEMENT,
				plan, this.session.sessionVariables(), this.deadline, this.unavailableMemberTimeoutAt,
				this.queueTimeoutAt, avoided, (connection) -> connectionGranted(connection, plan),
				this::requestRefused);
		this.session.router().submit(this.connectionRequest);
	}

	private void requestRefused(QueueRefusal reason) {
		if (this.pendingConnections.isEmpty()) {
			finish(StatementReply.failed(StatementError.OVERLOADED, reason.detail(), SessionState.IDLE));
		}
	}

	private void connectionGranted(PooledConnection connection, ReadPlan plan) {
		if (this.finished) {
			connection.release();
			return;
		}
		this.pendingConnections.add(connection);
		this.grantedAt.put(connection, this.session.context().now());
		if (!this.writes) {
			// The delay depends on the service time, so that a member under load does
			// not receive the same read twice.
			long hedgeDelay = HEDGE_DELAY_FACTOR * connection.pool().serviceNanoseconds();
			this.hedgeTimer = this.session.context()
				.schedule(Math.max(MINIMUM_HEDGE_DELAY_NANOSECONDS, hedgeDelay), this::hedge);
		}
		boolean needsPrimaryProof = !this.writes && !plan.onReplica();
		if (needsPrimaryProof) {
			begin(connection);
		}
		else {
			align(connection, plan, false);
		}
	}

	// A member that is no longer the primary refuses to begin a transaction that may
	// write, so the read cannot miss a commit of the new primary.
	private void begin(PooledConnection connection) {
		long requestedAt = this.session.context().now();
		connection.startAlignment(this.session.sessionVariables(), this.prepared);
		connection.sendUnqueued(MemberCommand.internal(MemberCommand.Kind.BEGIN), (reply) -> {
			if (reply.isDone()) {
				this.session.router()
					.primaryTracker()
					.primaryConfirmed(connection.pool(), requestedAt, reply.position());
				align(connection, ReadPlan.PRIMARY, true);
			}
			else {
				answered(connection, reply);
			}
		});
	}

	private void align(PooledConnection connection, ReadPlan plan, boolean inTransaction) {
		connection.whenAligned(this.session.sessionVariables(), this.prepared,
				() -> send(connection, plan, inTransaction), (reply) -> alignmentFailed(connection, reply));
	}

	private void send(PooledConnection connection, ReadPlan plan, boolean inTransaction) {
		if (this.finished) {
			this.pendingConnections.remove(connection);
			this.session.router()
				.endTransaction(connection, inTransaction ? SessionState.TRANSACTION : SessionState.IDLE);
			return;
		}
		long requestedAt = this.session.context().now();
		this.unansweredStatements++;
		connection.sendStatement(this.statement, this.prepared, plan.onReplica() ? plan.required() : null, (reply) -> {
			this.unansweredStatements--;
			if (reply.isDone() && (this.writes || inTransaction)) {
				this.session.router()
					.primaryTracker()
					.primaryConfirmed(connection.pool(), requestedAt, reply.position());
			}
			answered(connection, reply);
		});
	}

	// Members are chosen by their results only for reads. Refusals because of load or of
	// the role of the member are no failures.
	private void recordResult(MemberPool pool, StatementReply reply) {
		boolean failed = reply.error() == StatementError.FAILED || reply.error() == StatementError.TIMED_OUT;
		if (!this.writes && (failed || reply.isDone())) {
			pool.readFinished(failed);
		}
	}

	// The statement was not sent, so it may be tried elsewhere even if it writes.
	private void alignmentFailed(PooledConnection connection, StatementReply reply) {
		recordResult(connection.pool(), reply);
		returnConnection(connection, reply);
		if (this.finished) {
			return;
		}
		this.lastError = reply.error();
		this.session.statementLog()
			.alignmentFailed(this.statement, this.session.route().database(), connection.pool().member().member(),
					reply.error(), this.attempts);
		if (reply.error() == StatementError.MALFORMED) {
			finish(reply.withState(SessionState.IDLE));
		}
		else {
			retry(connection.pool(), StatementReply.failed(StatementError.OVERLOADED, reply.detail(), reply.state()));
		}
	}

	private void returnConnection(PooledConnection connection, StatementReply reply) {
		this.pendingConnections.remove(connection);
		Long since = this.grantedAt.remove(connection);
		if (reply.isDone() && since != null) {
			this.session.router()
				.serviceTimes()
				.record(this.session.route().database(), Work.STATEMENT, this.session.context().now() - since);
		}
		if (reply.error() == StatementError.CONNECTION_LOST) {
			connection.discard();
		}
		else {
			this.session.router().endTransaction(connection, reply.state());
		}
	}

	private void answered(PooledConnection connection, StatementReply reply) {
		recordResult(connection.pool(), reply);
		returnConnection(connection, reply);
		if (this.finished) {
			return;
		}
		if (reply.isDone()) {
			if (this.writes) {
				this.session.recordCommit(reply.position());
			}
			this.session.statementLog()
				.served(this.statement, this.session.route().database(), connection, this.attempts);
			finish(reply.withState(SessionState.IDLE));
			return;
		}
		handleError(connection.pool(), reply);
	}

	private void handleError(MemberPool pool, StatementReply reply) {
		this.lastError = reply.error();
		logRetry(pool, reply);
		switch (reply.error()) {
			case BEHIND -> {
				this.session.router().replicaBehind(pool);
				this.primaryOnly = true;
				retry(null, reply);
			}
			case NOT_PRIMARY -> {
				this.session.router().primaryTracker().primaryLost(pool, "refused a statement");
				retry(null, reply);
			}
			case OVERLOADED -> {
				pool.overloaded();
				retryWhenPermitted(pool, reply);
			}
			case TOO_MANY_CONNECTIONS, WRONG_MEMBER, NOT_PREPARED -> retry(pool, reply);
			case CONNECTION_LOST -> {
				if (this.writes) {
					finish(StatementReply.failed(StatementStage.WRITE_SENT.errorAfterLoss(),
							"connection to the member lost", SessionState.IDLE));
				}
				else {
					retry(pool, reply);
				}
			}
			case FAILED, TIMED_OUT -> {
				if (this.writes) {
					finish(reply.withState(SessionState.IDLE));
				}
				else {
					retry(pool, reply);
				}
			}
			case RESULT_TOO_LARGE ->
				finish(StatementReply.failed(this.writes ? StatementError.UNKNOWN_OUTCOME : StatementError.FAILED,
						reply.detail(), SessionState.IDLE));
			default -> finish(reply.withState(SessionState.IDLE));
		}
	}

	private void logRetry(MemberPool pool, StatementReply reply) {
		this.session.statementLog()
			.retried(this.statement, this.session.route().database(), pool.member().member(), reply.error(),
					this.attempts);
	}

	private void retry(MemberPool avoided, StatementReply reply) {
		if (!this.pendingConnections.isEmpty()) {
			return;
		}
		if (this.attempts >= MAXIMUM_ATTEMPTS) {
			finish(finalError(reply));
			return;
		}
		boolean immediately = reply.error() == StatementError.BEHIND || !this.writes && this.attempts == 1;
		if (immediately) {
			attempt(avoided);
			return;
		}
		this.session.context().schedule(RETRY_DELAY_NANOSECONDS, () -> {
			if (!this.finished) {
				attempt(avoided);
			}
		});
	}

	// The overload backoff of the member delays the attempts, so that only the time and
	// not their number is limited.
	private void retryWhenPermitted(MemberPool avoided, StatementReply reply) {
		if (!this.pendingConnections.isEmpty()) {
			return;
		}
		if (this.session.context().now() - this.queueTimeoutAt >= 0) {
			finish(finalError(reply));
			return;
		}
		this.attempts--;
		attempt(avoided);
	}

	// The last error may concern the connection to the member rather than the statement.
	private StatementReply finalError(StatementReply reply) {
		return switch (reply.error()) {
			case FAILED, TIMED_OUT, MALFORMED -> reply.withState(SessionState.IDLE);
			case CONNECTION_LOST ->
				StatementReply.failed(StatementStage.READ_SENT.errorAfterLoss(), "read failed", SessionState.IDLE);
			default -> StatementReply.failed(StatementError.OVERLOADED, "no member served this: " + reply.error(),
					SessionState.IDLE);
		};
	}

	private void hedge() {
		boolean permitted = !this.finished && !this.pendingConnections.isEmpty() && this.hedges < MAXIMUM_HEDGES
				&& this.attempts < MAXIMUM_ATTEMPTS;
		if (permitted) {
			this.hedges++;
			attempt(this.pendingConnections.get(0).pool());
		}
	}

	private void deadlinePassed() {
		if (this.finished) {
			return;
		}
		StatementStage reached = stage();
		String detail = (reached == StatementStage.WAITING) ? "not run in time: " + this.lastError
				: "no answer of the member";
		finish(StatementReply.failed(reached.errorAfterTimeout(), detail, SessionState.IDLE));
	}

	@Override
	public StatementStage stage() {
		return StatementStage.ofSingle(this.writes, this.unansweredStatements > 0);
	}

	@Override
	public void cancel() {
		finish(null);
	}

	private void finish(StatementReply reply) {
		if (this.finished) {
			return;
		}
		this.finished = true;
		this.deadlineTimer.cancel(false);
		if (this.hedgeTimer != null) {
			this.hedgeTimer.cancel(false);
		}
		if (this.connectionRequest != null) {
			this.connectionRequest.cancel();
		}
		List<PooledConnection> unanswered = List.copyOf(this.pendingConnections);
		this.session.context().schedule(LATE_ANSWER_TIMEOUT_NANOSECONDS, () -> {
			unanswered.stream().filter(this.pendingConnections::contains).forEach(PooledConnection::discard);
			this.pendingConnections.clear();
		});
		if (reply != null) {
			this.session.answer(reply);
		}
	}

}
