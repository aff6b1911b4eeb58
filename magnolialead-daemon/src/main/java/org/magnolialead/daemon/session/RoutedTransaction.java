package org.magnolialead.daemon.session;

import java.util.Optional;

import org.magnolialead.api.DaemonView;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Outcome;
import org.magnolialead.api.message.ForwardStatementAnswer;
import org.magnolialead.api.message.ForwardStatementRequest.TransactionScope;
import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.engine.session.PreparedStatement;
import org.magnolialead.engine.session.StatementStage;

/**
 * Transaction whose statements are forwarded to a daemon that holds connections to the
 * group, or executed here if this daemon holds some. The daemon is selected with the
 * first statement. As long as no commit was sent, a lost answer rolls the transaction
 * back: the other daemon can only commit it on request.
 */
final class RoutedTransaction implements Transaction {

	private final ClientSession session;

	private final boolean readOnly;

	private final long begunAt;

	private long number;

	private int attempts;

	/** Whether the statement in progress commits the transaction. */
	private boolean committing;

	private DaemonView holder;

	private Transaction local;

	private boolean begun;

	private boolean ended;

	RoutedTransaction(ClientSession session, boolean readOnly, long begunAt) {
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
		this.committing = statement.verb() == ClientStatement.Verb.COMMIT;
		if (this.holder == null && this.local == null) {
			selectHolder();
		}
		if (this.local != null) {
			this.local.run(statement, prepared, writes, deadline);
			return;
		}
		TransactionScope scope = new TransactionScope(this.number, !this.begun, this.readOnly);
		this.session.forwarder()
			.forward(this.holder, this.session.forwardRequest(statement, prepared, writes, scope), deadline)
			.whenComplete((answer, failure) -> this.session.context().execute(() -> {
				if (this.ended) {
					return;
				}
				if (failure == null) {
					answered(statement, answer);
				}
				else if (!this.begun && isNotRun(failure) && this.session.context().now() - deadline < 0) {
					this.holder = null;
					run(statement, prepared, writes, deadline);
				}
				else {
					failed((MagnolialeadException) failure);
				}
			}));
	}

	private void selectHolder() {
		Optional<DaemonView> selected = this.session.forwarder()
			.select(this.session.route().group(), this.session.account());
		this.attempts++;
		if (selected.isPresent() && this.attempts <= StatementForwarder.MAXIMUM_ATTEMPTS) {
			this.holder = selected.get();
			this.number = this.session.forwarder().nextTransaction();
		}
		else {
			this.local = new MemberTransaction(this.session, this.readOnly, this.begunAt);
		}
	}

	private static boolean isNotRun(Throwable failure) {
		return ((MagnolialeadException) failure).code().outcome() == Outcome.NOT_RUN;
	}

	private void answered(ClientStatement statement, ForwardStatementAnswer answer) {
		StatementReply reply = answer.reply();
		this.begun = true;
		this.session.recordCommit(answer.committed());
		this.session.statementLog().forwarded(statement, this.session.route(), this.holder.daemon());
		switch (reply.state()) {
			case TRANSACTION -> this.session.answer(reply);
			case IDLE -> {
				this.ended = true;
				this.session.transactionEnded(reply);
			}
			case FAILED_TRANSACTION -> {
				this.ended = true;
				this.session.transactionFailed(reply);
			}
		}
	}

	private void failed(MagnolialeadException failure) {
		rollBack(false);
		String detail = "forwarding failed: " + failure.getMessage();
		StatementError error = StatementStage.ofTransaction(this.committing, !isNotRun(failure)).errorAfterLoss();
		if (this.committing) {
			this.session.transactionEnded(StatementReply.failed(error, detail, SessionState.IDLE));
		}
		else {
			this.session.transactionFailed(StatementReply.failed(error, detail, SessionState.FAILED_TRANSACTION));
		}
	}

	@Override
	public StatementStage stage() {
		return (this.local != null) ? this.local.stage() : StatementStage.ofTransaction(this.committing, true);
	}

	@Override
	public void rollBack(boolean answerPending) {
		if (this.local != null) {
			this.local.rollBack(answerPending);
		}
		else if (this.holder != null && !this.ended) {
			this.session.forwarder().rollBack(this.holder, this.number);
		}
		this.ended = true;
	}

}
