package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.magnolialead.engine.session.PreparedStatement;
import org.magnolialead.engine.session.QueueAdmission;
import org.magnolialead.engine.session.ReadPlan;

/**
 * One statement outside a transaction. Reads are tried at other members when an answer
 * does not come; a write leaves once unless the member said that it did not run.
 */
final class SingleStatement {

	/** Silence after which a read is tried at another member as well. */
	private static final long HEDGE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(150);

	/** Multiple of the usual time of a statement that counts as silence. */
	private static final int HEDGE_FACTOR = 4;

	/** Time for which a connection that owes an answer no one waits for stays open. */
	private static final long LATE_ANSWER_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long RETRY_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(15);

	/** Attempts of one statement, the first one included. */
	private static final int MAXIMUM_ATTEMPTS = 6;

	/** Hedged attempts of a read. */
	private static final int MAXIMUM_HEDGES = 2;

	private final ClientSession session;

	private final ClientStatement statement;

	private final PreparedStatement prepared;

	private final boolean writes;

	private final long deadline;

	private final long elsewhereAt;

	private final long giveUpAt;

	private final List<PooledConnection> waitingFor = new ArrayList<>();

	private final Future<?> deadlineTimer;

	private Future<?> hedgeTimer;

	private Work work;

	private int attempts;

	private int hedges;

	private boolean primaryOnly;

	private boolean finished;

	private StatementError lastError = StatementError.OVERLOADED;

	SingleStatement(ClientSession session, ClientStatement statement, PreparedStatement prepared, boolean writes,
			long deadline) {
		this.session = session;
		this.statement = statement;
		this.prepared = prepared;
		this.writes = writes;
		this.deadline = deadline;
		long now = session.services().now();
		this.elsewhereAt = QueueAdmission.unavailableMemberTimeoutAt(now, deadline);
		this.giveUpAt = QueueAdmission.queueTimeoutAt(now, deadline);
		this.deadlineTimer = session.services().after(deadline - now, this::deadlinePassed);
	}

	void start() {
		attempt(null);
	}

	private void attempt(MemberPool avoided) {
		this.attempts++;
		ReadPlan plan = (this.writes || this.primaryOnly) ? ReadPlan.PRIMARY
				: this.session.readPlan(this.statement.receivedAt());
		this.work = new Work(this.session.route(), plan, this.session.values(), this.deadline, this.elsewhereAt,
				this.giveUpAt, avoided, (connection) -> run(connection, plan), this::notRun);
		this.session.router().submit(this.work);
	}

	private void notRun(StatementError error) {
		if (this.waitingFor.isEmpty()) {
			finish(StatementReply.failed(error, "no member can serve this in time", SessionState.IDLE));
		}
	}

	private void run(PooledConnection connection, ReadPlan plan) {
		if (this.finished) {
			connection.release();
			return;
		}
		this.waitingFor.add(connection);
		if (!this.writes) {
			// A member that is merely busy must not get the same work twice.
			long usual = HEDGE_FACTOR * connection.pool().serviceNanoseconds();
			this.hedgeTimer = this.session.services().after(Math.max(HEDGE_NANOSECONDS, usual), this::hedge);
		}
		connection.align(this.session.values(), this.prepared);
		boolean needsProof = !this.writes && !plan.onReplica();
		if (needsProof) {
			begin(connection);
		}
		else {
			send(connection, plan, false);
		}
	}

	// The primary refuses to begin if it has lost its role, so the read cannot miss a
	// commit of its successor.
	private void begin(PooledConnection connection) {
		long askedAt = this.session.services().now();
		connection.begin(MemberCommand.own(MemberCommand.Kind.BEGIN), (reply) -> {
			if (reply.isDone()) {
				this.session.router().primaries().proved(connection.pool(), askedAt, reply.position());
				send(connection, ReadPlan.PRIMARY, true);
			}
			else {
				replied(connection, reply);
			}
		});
	}

	private void send(PooledConnection connection, ReadPlan plan, boolean inTransaction) {
		long askedAt = this.session.services().now();
		connection.send(this.session.command(this.statement, this.prepared, plan.onReplica() ? plan.required() : null),
				(reply) -> {
					if (reply.isDone() && (this.writes || inTransaction)) {
						this.session.router().primaries().proved(connection.pool(), askedAt, reply.position());
					}
					replied(connection, reply);
				});
	}

	private void replied(PooledConnection connection, StatementReply reply) {
		this.waitingFor.remove(connection);
		if (reply.error() == StatementError.CONNECTION_LOST) {
			connection.discard();
		}
		else {
			this.session.router().endTransaction(connection, reply.state());
		}
		if (this.finished) {
			return;
		}
		if (reply.isDone()) {
			if (this.writes) {
				this.session.committed(reply.position());
			}
			this.session.log().served(this.statement, this.session.database(), connection, this.attempts);
			finish(reply.withState(SessionState.IDLE));
			return;
		}
		failed(connection.pool(), reply);
	}

	private void failed(MemberPool pool, StatementReply reply) {
		this.lastError = reply.error();
		noteRetry(pool, reply);
		switch (reply.error()) {
			case BEHIND -> {
				this.session.router().noteBehind(pool);
				this.primaryOnly = true;
				retry(null, reply);
			}
			case NOT_PRIMARY -> {
				this.session.router().primaries().lost(pool, "refused a statement");
				retry(null, reply);
			}
			case OVERLOADED -> {
				pool.overloaded();
				retryWhenPermitted(pool, reply);
			}
			case TOO_MANY_CONNECTIONS, WRONG_MEMBER, NOT_PREPARED -> retry(pool, reply);
			case CONNECTION_LOST -> {
				if (this.writes) {
					finish(StatementReply.failed(StatementError.UNKNOWN_OUTCOME, "connection to the member lost",
							SessionState.IDLE));
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
			default -> finish(reply.withState(SessionState.IDLE));
		}
	}

	private void noteRetry(MemberPool pool, StatementReply reply) {
		this.session.log()
			.retried(this.statement, this.session.database(), pool.member().member(), reply.error(), this.attempts);
	}

	private void retry(MemberPool avoided, StatementReply reply) {
		if (!this.waitingFor.isEmpty()) {
			return;
		}
		if (this.attempts >= MAXIMUM_ATTEMPTS) {
			finish(giveUp(reply));
			return;
		}
		boolean atOnce = reply.error() == StatementError.BEHIND || !this.writes && this.attempts == 1;
		if (atOnce) {
			attempt(avoided);
			return;
		}
		this.session.services().after(RETRY_DELAY_NANOSECONDS, () -> {
			if (!this.finished) {
				attempt(avoided);
			}
		});
	}

	// The pause of the member decides when, so that attempts need no limit but the time.
	private void retryWhenPermitted(MemberPool avoided, StatementReply reply) {
		if (!this.waitingFor.isEmpty()) {
			return;
		}
		if (this.session.services().now() - this.giveUpAt >= 0) {
			finish(giveUp(reply));
			return;
		}
		this.attempts--;
		attempt(avoided);
	}

	// What the members said last may be about the connection rather than the statement.
	private StatementReply giveUp(StatementReply reply) {
		return switch (reply.error()) {
			case FAILED, TIMED_OUT, MALFORMED -> reply.withState(SessionState.IDLE);
			case CONNECTION_LOST -> StatementReply.failed(StatementError.FAILED, "read failed", SessionState.IDLE);
			default -> StatementReply.failed(StatementError.OVERLOADED, "no member served this: " + reply.error(),
					SessionState.IDLE);
		};
	}

	private void hedge() {
		boolean useful = !this.finished && !this.waitingFor.isEmpty() && this.hedges < MAXIMUM_HEDGES
				&& this.attempts < MAXIMUM_ATTEMPTS;
		if (useful) {
			this.hedges++;
			attempt(this.waitingFor.get(0).pool());
		}
	}

	private void deadlinePassed() {
		if (this.finished) {
			return;
		}
		if (this.waitingFor.isEmpty()) {
			finish(StatementReply.failed(StatementError.OVERLOADED, "not run in time: " + this.lastError,
					SessionState.IDLE));
			return;
		}
		finish(StatementReply.failed(StatementError.TIMED_OUT, "no answer of the member", SessionState.IDLE));
	}

	/**
	 * Ends the interest in the answer because the client has left.
	 */
	void abandon() {
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
		if (this.work != null) {
			this.work.cancel();
		}
		List<PooledConnection> late = List.copyOf(this.waitingFor);
		this.session.services().after(LATE_ANSWER_NANOSECONDS, () -> {
			late.stream().filter(this.waitingFor::contains).forEach(PooledConnection::discard);
			this.waitingFor.clear();
		});
		if (reply != null) {
			this.session.answered(reply);
		}
	}

}
