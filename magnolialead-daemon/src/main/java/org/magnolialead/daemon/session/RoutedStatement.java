package org.magnolialead.daemon.session;

import java.util.Optional;

import org.magnolialead.api.DaemonView;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Outcome;
import org.magnolialead.api.message.ForwardStatementAnswer;
import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.engine.session.PreparedStatement;
import org.magnolialead.engine.session.StatementStage;

/**
 * Statement outside a transaction. It is forwarded to a daemon that holds connections to
 * the group, or executed here if this daemon holds some. If the other daemon does not
 * answer, the next one is tried, and finally this daemon itself; a write only if it was
 * certainly not handled.
 */
final class RoutedStatement implements SingleStatement {

	private final ClientSession session;

	private final ClientStatement statement;

	private final PreparedStatement prepared;

	private final boolean writes;

	private final long deadline;

	private int attempts;

	private SingleStatement local;

	private boolean finished;

	RoutedStatement(ClientSession session, ClientStatement statement, PreparedStatement prepared, boolean writes,
			long deadline) {
		this.session = session;
		this.statement = statement;
		this.prepared = prepared;
		this.writes = writes;
		this.deadline = deadline;
	}

	@Override
	public void start() {
		Optional<DaemonView> holder = this.session.forwarder()
			.select(this.session.route().group(), this.session.account());
		this.attempts++;
		if (holder.isEmpty() || this.attempts > StatementForwarder.MAXIMUM_ATTEMPTS) {
			this.local = new MemberStatement(this.session, this.statement, this.prepared, this.writes, this.deadline);
			this.local.start();
			return;
		}
		this.session.forwarder()
			.forward(holder.get(), this.session.forwardRequest(this.statement, this.prepared, this.writes, null),
					this.deadline)
			.whenComplete((answer, failure) -> this.session.context().execute(() -> {
				if (this.finished) {
					return;
				}
				if (failure == null) {
					answered(holder.get(), answer);
				}
				else {
					failed((MagnolialeadException) failure);
				}
			}));
	}

	private void answered(DaemonView holder, ForwardStatementAnswer answer) {
		this.session.recordCommit(answer.committed());
		this.session.statementLog().forwarded(this.statement, this.session.route(), holder.daemon());
		finish(answer.reply());
	}

	private void failed(MagnolialeadException failure) {
		boolean certainlyNotRun = failure.code().outcome() == Outcome.NOT_RUN;
		boolean inTime = this.session.context().now() - this.deadline < 0;
		if (inTime && (certainlyNotRun || !this.writes)) {
			start();
			return;
		}
		StatementStage reached = StatementStage.ofSingle(this.writes, !certainlyNotRun);
		StatementError error = inTime ? reached.errorAfterLoss() : reached.errorAfterTimeout();
		finish(StatementReply.failed(error, "forwarding failed: " + failure.getMessage(), SessionState.IDLE));
	}

	private void finish(StatementReply reply) {
		this.finished = true;
		this.session.answer(reply);
	}

	@Override
	public StatementStage stage() {
		return (this.local != null) ? this.local.stage() : StatementStage.ofSingle(this.writes, true);
	}

	@Override
	public void cancel() {
		this.finished = true;
		if (this.local != null) {
			this.local.cancel();
		}
	}

}
