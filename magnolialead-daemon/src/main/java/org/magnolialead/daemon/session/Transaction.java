package org.magnolialead.daemon.session;

import java.util.Objects;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.magnolialead.engine.session.OverloadBackoff;
import org.magnolialead.engine.session.PreparedStatement;
import org.magnolialead.engine.session.QueueAdmission;
import org.magnolialead.engine.session.ReadPlan;

/**
 * Open transaction of a session. The member learns of it with its first statement, and
 * from then on it has one member connection for itself.
 */
final class Transaction {

	/**
	 * Silence after which a statement is given up. The transaction is rolled back then,
	 * which is a certain outcome as long as no commit was sent.
	 */
	private static final long SILENCE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(350);

	private static final long RETRY_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(15);

	private static final int MAXIMUM_ATTEMPTS = 6;

	private final ClientSession session;

	private final boolean readOnly;

	private final long begunAt;

	private PooledConnection connection;

	private Work work;

	private boolean wrote;

	/** Whether a statement has run, so that the transaction cannot begin anew. */
	private boolean ran;

	private int attempts;

	private boolean primaryOnly;

	private Future<?> timer;

	private Pending pending;

	Transaction(ClientSession session, boolean readOnly, long begunAt) {
		this.session = session;
		this.readOnly = readOnly;
		this.begunAt = begunAt;
	}

	boolean isReadOnly() {
		return this.readOnly;
	}

	/**
	 * Runs a statement of the transaction.
	 * @param statement the statement
	 * @param prepared the prepared statement that it executes, or {@code null}
	 * @param writes whether it writes
	 * @param deadline time in nanoseconds by which it must be answered
	 */
	void run(ClientStatement statement, PreparedStatement prepared, boolean writes, long deadline) {
		boolean commit = statement.verb() == ClientStatement.Verb.COMMIT;
		long now = this.session.services().now();
		this.pending = new Pending(statement, prepared, writes, commit, deadline,
				QueueAdmission.unavailableMemberTimeoutAt(now, deadline), QueueAdmission.queueTimeoutAt(now, deadline));
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
		this.work = new Work(this.session.route(), plan, this.session.values(), this.pending.deadline(),
				this.pending.elsewhereAt(), this.pending.giveUpAt(), null, (granted) -> begin(granted, plan),
				this::notRun);
		this.session.router().submit(this.work);
	}

	private void notRun(StatementError error) {
		fail(error, "no member can serve this in time");
	}

	private void begin(PooledConnection granted, ReadPlan plan) {
		this.work = null;
		this.connection = granted;
		granted.align(this.session.values(), this.pending.prepared());
		MemberCommand command = plan.onReplica() ? MemberCommand.beginRead(plan.required())
				: MemberCommand.own(MemberCommand.Kind.BEGIN);
		long askedAt = this.session.services().now();
		granted.begin(command, (reply) -> {
			if (this.connection == granted) {
				begun(reply, plan, askedAt);
			}
		});
	}

	private void begun(StatementReply reply, ReadPlan plan, long askedAt) {
		if (reply.isDone()) {
			if (!plan.onReplica()) {
				this.session.router().primaries().proved(this.connection.pool(), askedAt, reply.position());
			}
			send();
			return;
		}
		MemberPool pool = this.connection.pool();
		dropConnection(reply);
		if (reply.error() == StatementError.BEHIND) {
			this.session.router().noteBehind(pool);
			this.primaryOnly = true;
		}
		if (reply.error() == StatementError.NOT_PRIMARY) {
			this.session.router().primaries().lost(pool, "refused a transaction");
		}
		if (this.attempts >= MAXIMUM_ATTEMPTS) {
			fail(StatementError.OVERLOADED, "no member began the transaction: " + reply.error());
			return;
		}
		this.timer = this.session.services().after(RETRY_DELAY_NANOSECONDS, this::attempt);
	}

	private void send() {
		PooledConnection used = this.connection;
		Pending sent = this.pending;
		used.align(this.session.values(), sent.prepared());
		long now = this.session.services().now();
		long untilDeadline = sent.deadline() - now;
		startTimer(sent.commit() ? untilDeadline : Math.min(SILENCE_NANOSECONDS, untilDeadline));
		used.send(this.session.command(sent.statement(), sent.prepared(), null), (reply) -> {
			if (this.connection == used) {
				replied(reply, now);
			}
		});
	}

	private void replied(StatementReply reply, long askedAt) {
		stopTimer();
		if (reply.isDone()) {
			succeeded(reply, askedAt);
			return;
		}
		MemberPool pool = this.connection.pool();
		if (reply.error() == StatementError.NOT_PRIMARY) {
			this.session.router().primaries().lost(pool, "refused a statement of a transaction");
		}
		if (reply.error() == StatementError.OVERLOADED) {
			pool.overloaded();
			if (sendsAgain(reply)) {
				return;
			}
		}
		dropConnection(reply);
		if (this.pending.commit()) {
			commitFailed(reply);
			return;
		}
		boolean nothingRan = reply.error() == StatementError.OVERLOADED && !this.ran;
		if (nothingRan && this.attempts < MAXIMUM_ATTEMPTS) {
			this.session.log()
				.retried(this.pending.statement(), this.session.database(), pool.member().member(), reply.error(),
						this.attempts);
			attempt();
			return;
		}
		// Nothing of the transaction is kept, whatever the member said of the statement.
		fail(StatementError.ROLLED_BACK, "statement failed: " + reply.error() + ", state " + reply.state());
	}

	// A member whose queue is full keeps the transaction open, so only this statement has
	// to be sent again.
	private boolean sendsAgain(StatementReply reply) {
		long pause = OverloadBackoff.nanoseconds(this.session.route().priority());
		long now = this.session.services().now();
		boolean inTime = now + pause - this.pending.giveUpAt() < 0;
		if (reply.state() != SessionState.TRANSACTION || !inTime) {
			return false;
		}
		this.session.log()
			.retried(this.pending.statement(), this.session.database(), this.connection.pool().member().member(),
					reply.error(), this.attempts);
		this.timer = this.session.services().after(pause, this::send);
		return true;
	}

	private void succeeded(StatementReply reply, long askedAt) {
		this.session.log().served(this.pending.statement(), this.session.database(), this.connection, this.attempts);
		this.ran = true;
		this.wrote |= this.pending.writes();
		if (!this.pending.commit()) {
			this.session.answered(reply.withState(SessionState.TRANSACTION));
			return;
		}
		if (this.wrote) {
			this.session.router().primaries().proved(this.connection.pool(), askedAt, reply.position());
			this.session.committed(reply.position());
		}
		PooledConnection used = this.connection;
		this.connection = null;
		this.session.router().endTransaction(used, reply.state());
		this.session.transactionEnded(reply.withState(SessionState.IDLE));
	}

	private void commitFailed(StatementReply reply) {
		StatementError error = switch (reply.error()) {
			case OVERLOADED, NOT_PRIMARY, ROLLED_BACK, MALFORMED -> StatementError.ROLLED_BACK;
			case FAILED, TIMED_OUT -> reply.error();
			default -> StatementError.UNKNOWN_OUTCOME;
		};
		this.session
			.transactionEnded(StatementReply.failed(error, "commit failed: " + reply.error(), SessionState.IDLE));
	}

	private void silent() {
		if (this.connection == null) {
			return;
		}
		this.connection.discard();
		this.connection = null;
		if (this.pending.commit()) {
			this.session.transactionEnded(StatementReply.failed(StatementError.UNKNOWN_OUTCOME,
					"no answer to the commit", SessionState.IDLE));
		}
		else {
			fail(StatementError.ROLLED_BACK, "no answer of the member");
		}
	}

	private void fail(StatementError error, String detail) {
		if (this.pending.commit()) {
			this.session.transactionEnded(StatementReply.failed(error, detail, SessionState.IDLE));
		}
		else {
			this.session.transactionFailed(StatementReply.failed(error, detail, SessionState.FAILED_TRANSACTION));
		}
	}

	private void dropConnection(StatementReply reply) {
		PooledConnection used = this.connection;
		this.connection = null;
		if (reply.error() == StatementError.CONNECTION_LOST) {
			used.discard();
		}
		else {
			this.session.router().endTransaction(used, reply.state());
		}
	}

	/**
	 * Rolls the transaction back and returns its connection.
	 * @param answerOutstanding whether a statement is still at the member
	 */
	void rollBack(boolean answerOutstanding) {
		stopTimer();
		if (this.work != null) {
			this.work.cancel();
		}
		if (this.connection == null) {
			return;
		}
		PooledConnection used = this.connection;
		this.connection = null;
		if (answerOutstanding) {
			used.discard();
		}
		else {
			this.session.router().endTransaction(used, SessionState.TRANSACTION);
		}
	}

	private void startTimer(long nanoseconds) {
		this.timer = this.session.services().after(nanoseconds, this::silent);
	}

	private void stopTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	private record Pending(ClientStatement statement, PreparedStatement prepared, boolean writes, boolean commit,
			long deadline, long elsewhereAt, long giveUpAt) {

		Pending {
			Objects.requireNonNull(statement, "statement must not be null");
		}

	}

}
