package org.magnolialead.daemon.session;

import java.util.Objects;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.engine.queue.QueueRefusal;
import org.magnolialead.engine.queue.ServiceTimes.Work;
import org.magnolialead.engine.session.OverloadBackoff;
import org.magnolialead.engine.session.PreparedStatement;
import org.magnolialead.engine.session.QueueAdmission;
import org.magnolialead.engine.session.ReadPlan;
import org.magnolialead.engine.session.StatementStage;

/**
 * Transaction that this daemon executes. From its first statement on it holds one member
 * connection exclusively.
 */
final class MemberTransaction implements Transaction {

	/**
	 * Time after which a statement without an answer fails and the transaction is rolled
	 * back. The outcome is certain as long as no commit was sent.
	 */
	private static final long STATEMENT_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(350);

	private static final long RETRY_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(15);

	private static final int MAXIMUM_ATTEMPTS = 6;

	private final StatementSession session;

	private final boolean readOnly;

	private final long begunAt;

	private PooledConnection connection;

	/** Time in nanoseconds at which the connection was granted. */
	private long grantedAt;

	private ConnectionRequest connectionRequest;

	private boolean hasWritten;

	/** Whether a statement has run, after which the transaction cannot be begun again. */
	private boolean statementRan;

	private int attempts;

	private boolean primaryOnly;

	private Future<?> timer;

	private PendingStatement pendingStatement;

	/** Whether the pending statement was sent and is not answered. */
	private boolean sent;

	MemberTransaction(StatementSession session, boolean readOnly, long begunAt) {
		this.session = session;
		this.readOnly = readOnly;
		this.begunAt = begunAt;
	}

	@Override
	public boolean isReadOnly() {
		return this.readOnly;
	}

	@Override
	public void run(ClientStatement statement, PreparedStatement prepared, boolean writes, long deadline) {
		boolean commit = statement.verb() == ClientStatement.Verb.COMMIT;
		long now = this.session.context().now();
		this.pendingStatement = new PendingStatement(statement, prepared, writes, commit, deadline,
				QueueAdmission.unavailableMemberTimeoutAt(now, deadline), QueueAdmission.queueTimeoutAt(now, deadline));
		this.sent = false;
		if (this.connection == null) {
			attempt();
		}
		else {
			send();
		}
	}

	private void attempt() {
		this.attempts++;
		ReadPlan plan = (this.readOnly && !this.primaryOnly) ? this.session.readPlan(this.begunAt) : ReadPlan.PRIMARY;
		this.connectionRequest = new ConnectionRequest(this.session.route(), this.session.account(), Work.TRANSACTION,
				plan, this.session.sessionVariables(), this.pendingStatement.deadline(),
				this.pendingStatement.unavailableMemberTimeoutAt(), this.pendingStatement.queueTimeoutAt(), null,
				(granted) -> begin(granted, plan), this::requestRefused);
		this.session.router().submit(this.connectionRequest);
	}

	private void requestRefused(QueueRefusal reason) {
		fail(StatementError.OVERLOADED, reason.detail());
	}

	private void begin(PooledConnection granted, ReadPlan plan) {
		this.connectionRequest = null;
		this.connection = granted;
		this.grantedAt = this.session.context().now();
		granted.startAlignment(this.session.sessionVariables(), this.pendingStatement.prepared());
		MemberCommand command = plan.onReplica() ? MemberCommand.beginRead(plan.required())
				: MemberCommand.internal(MemberCommand.Kind.BEGIN);
		long requestedAt = this.session.context().now();
		granted.sendUnqueued(command, (reply) -> {
			if (this.connection == granted) {
				begun(reply, plan, requestedAt);
			}
		});
	}

	private void begun(StatementReply reply, ReadPlan plan, long requestedAt) {
		if (reply.isDone()) {
			if (!plan.onReplica()) {
				this.session.router()
					.primaryTracker()
					.primaryConfirmed(this.connection.pool(), requestedAt, reply.position());
			}
			send();
			return;
		}
		MemberPool pool = this.connection.pool();
		returnConnection(reply);
		if (reply.error() == StatementError.BEHIND) {
			this.session.router().replicaBehind(pool);
			this.primaryOnly = true;
		}
		if (reply.error() == StatementError.NOT_PRIMARY) {
			this.session.router().primaryTracker().primaryLost(pool, "refused a transaction");
		}
		if (this.attempts >= MAXIMUM_ATTEMPTS) {
			fail(StatementError.OVERLOADED, "no member began the transaction: " + reply.error());
			return;
		}
		this.timer = this.session.context().schedule(RETRY_DELAY_NANOSECONDS, this::attempt);
	}

	private void send() {
		PooledConnection used = this.connection;
		PendingStatement statement = this.pendingStatement;
		long untilDeadline = statement.deadline() - this.session.context().now();
		startTimer(statement.commit() ? untilDeadline : Math.min(STATEMENT_TIMEOUT_NANOSECONDS, untilDeadline));
		used.whenAligned(this.session.sessionVariables(), statement.prepared(), () -> {
			if (this.connection == used) {
				sendAligned();
			}
		}, (reply) -> {
			if (this.connection == used) {
				alignmentFailed(reply);
			}
		});
	}

	private void sendAligned() {
		PooledConnection used = this.connection;
		long requestedAt = this.session.context().now();
		this.sent = true;
		used.sendStatement(this.pendingStatement.statement(), this.pendingStatement.prepared(), null, (reply) -> {
			if (this.connection == used) {
				answered(reply, requestedAt);
			}
		});
	}

	// The statement was not sent. Until a statement has run, the transaction can be begun
	// again on another connection.
	private void alignmentFailed(StatementReply reply) {
		stopTimer();
		this.session.statementLog()
			.alignmentFailed(this.pendingStatement.statement(), this.session.route().database(),
					this.connection.pool().member().member(), reply.error(), this.attempts);
		returnConnection(reply);
		if (this.statementRan || this.attempts >= MAXIMUM_ATTEMPTS || reply.error() == StatementError.MALFORMED) {
			fail(StatementError.ROLLED_BACK, reply.error() + ": " + reply.detail());
			return;
		}
		this.timer = this.session.context().schedule(RETRY_DELAY_NANOSECONDS, this::attempt);
	}

	private void answered(StatementReply reply, long requestedAt) {
		stopTimer();
		this.sent = false;
		if (reply.isDone()) {
			succeeded(reply, requestedAt);
			return;
		}
		MemberPool pool = this.connection.pool();
		if (reply.error() == StatementError.NOT_PRIMARY) {
			this.session.router().primaryTracker().primaryLost(pool, "refused a statement of a transaction");
		}
		if (reply.error() == StatementError.OVERLOADED) {
			pool.overloaded();
			if (scheduleResend(reply)) {
				return;
			}
		}
		returnConnection(reply);
		if (this.pendingStatement.commit()) {
			commitFailed(reply);
			return;
		}
		boolean nothingRan = reply.error() == StatementError.OVERLOADED && !this.statementRan;
		if (nothingRan && this.attempts < MAXIMUM_ATTEMPTS) {
			this.session.statementLog()
				.retried(this.pendingStatement.statement(), this.session.route().database(), pool.member().member(),
						reply.error(), this.attempts);
			attempt();
			return;
		}
		// The transaction is rolled back, whatever error the member reported for the
		// statement.
		fail(StatementError.ROLLED_BACK, "statement failed: " + reply.error() + ", state " + reply.state());
	}

	// A member whose queue is full keeps the transaction open, so only this statement
	// has to be resent.
	private boolean scheduleResend(StatementReply reply) {
		long pause = OverloadBackoff.delayNanoseconds(this.session.route().priority());
		long now = this.session.context().now();
		boolean inTime = now + pause - this.pendingStatement.queueTimeoutAt() < 0;
		if (reply.state() != SessionState.TRANSACTION || !inTime) {
			return false;
		}
		this.session.statementLog()
			.retried(this.pendingStatement.statement(), this.session.route().database(),
					this.connection.pool().member().member(), reply.error(), this.attempts);
		this.timer = this.session.context().schedule(pause, this::send);
		return true;
	}

	private void succeeded(StatementReply reply, long requestedAt) {
		this.session.statementLog()
			.served(this.pendingStatement.statement(), this.session.route().database(), this.connection, this.attempts);
		if (!this.statementRan) {
			recordServiceTime(Work.STATEMENT);
		}
		this.statementRan = true;
		this.hasWritten |= this.pendingStatement.writes();
		if (!this.pendingStatement.commit()) {
			this.session.answer(reply.withState(SessionState.TRANSACTION));
			return;
		}
		if (this.hasWritten) {
			this.session.router()
				.primaryTracker()
				.primaryConfirmed(this.connection.pool(), requestedAt, reply.position());
			this.session.recordCommit(reply.position());
		}
		recordServiceTime(Work.TRANSACTION);
		PooledConnection used = this.connection;
		this.connection = null;
		this.session.router().endTransaction(used, reply.state());
		this.session.transactionEnded(reply.withState(SessionState.IDLE));
	}

	private void recordServiceTime(Work work) {
		this.session.router()
			.serviceTimes()
			.record(this.session.route().database(), work, this.session.context().now() - this.grantedAt);
	}

	private void commitFailed(StatementReply reply) {
		StatementError error = switch (reply.error()) {
			case OVERLOADED, NOT_PRIMARY, ROLLED_BACK, MALFORMED -> StatementError.ROLLED_BACK;
			case FAILED, TIMED_OUT -> reply.error();
			default -> StatementStage.COMMIT_SENT.errorAfterLoss();
		};
		this.session
			.transactionEnded(StatementReply.failed(error, "commit failed: " + reply.error(), SessionState.IDLE));
	}

	private void timedOut() {
		if (this.connection == null) {
			return;
		}
		this.connection.discard();
		this.connection = null;
		fail(stage().errorAfterTimeout(), "no answer of the member");
	}

	@Override
	public StatementStage stage() {
		return StatementStage.ofTransaction(this.pendingStatement.commit(), this.sent);
	}

	private void fail(StatementError error, String detail) {
		if (this.pendingStatement.commit()) {
			this.session.transactionEnded(StatementReply.failed(error, detail, SessionState.IDLE));
		}
		else {
			this.session.transactionFailed(StatementReply.failed(error, detail, SessionState.FAILED_TRANSACTION));
		}
	}

	private void returnConnection(StatementReply reply) {
		PooledConnection used = this.connection;
		this.connection = null;
		if (reply.error() == StatementError.CONNECTION_LOST) {
			used.discard();
		}
		else {
			this.session.router().endTransaction(used, reply.state());
		}
	}

	@Override
	public void rollBack(boolean answerPending) {
		stopTimer();
		if (this.connectionRequest != null) {
			this.connectionRequest.cancel();
		}
		if (this.connection == null) {
			return;
		}
		if (this.statementRan) {
			recordServiceTime(Work.TRANSACTION);
		}
		PooledConnection used = this.connection;
		this.connection = null;
		if (answerPending) {
			used.discard();
		}
		else {
			this.session.router().endTransaction(used, SessionState.TRANSACTION);
		}
	}

	private void startTimer(long nanoseconds) {
		this.timer = this.session.context().schedule(nanoseconds, this::timedOut);
	}

	private void stopTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	private record PendingStatement(ClientStatement statement, PreparedStatement prepared, boolean writes,
			boolean commit, long deadline, long unavailableMemberTimeoutAt, long queueTimeoutAt) {

		PendingStatement {
			Objects.requireNonNull(statement, "statement must not be null");
		}

	}

}
