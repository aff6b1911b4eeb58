package org.magnolialead.daemon.owner;

import java.util.Optional;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.StatementKind;
import org.magnolialead.api.Step;
import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.transport.member.MemberResponse;

/**
 * What becomes of open transactions.
 */
final class TransactionLifecycle {

	private final GroupContext context;

	private final RequestOutcomes outcomes;

	TransactionLifecycle(GroupContext context, RequestOutcomes outcomes) {
		this.context = context;
		this.outcomes = outcomes;
	}

	/**
	 * Returns the transaction that a request belongs to.
	 * @param request the request
	 * @return the transaction, or empty if there is none or the request begins one
	 */
	Optional<OpenTransaction> of(PendingRequest request) {
		StatementKind kind = request.request().kind();
		boolean inTransaction = kind.isTransactional() && kind != StatementKind.BEGIN;
		return inTransaction ? this.context.transactions().find(request.request().transaction()) : Optional.empty();
	}

	void opened(RunningStatement execution, MemberResponse reply) {
		PendingRequest request = execution.dispatch.work();
		if (!this.context.mayAcknowledge(reply.term()) || request.answer().isDone()) {
			execution.pool.release(execution.connection, false);
			this.outcomes.notRun(request, ErrorCode.PRIMARY_REPLACED, Step.TRANSACTION, execution.dispatch.member(),
					"the transaction was rolled back because the primary changed or the caller stopped waiting");
			return;
		}
		OpenTransaction transaction = this.context.transactions()
			.open(execution.dispatch.member(), reply.term(), execution.connection, this.context.now());
		transaction.pool(execution.pool);
		this.outcomes.done(request, reply, false, transaction.identifier());
	}

	/**
	 * Ends the transaction of a commit that succeeded. A resend of the commit is given
	 * the same answer.
	 * @param request the commit
	 */
	void committed(PendingRequest request) {
		OpenTransaction transaction = of(request).orElseThrow();
		request.answer().thenAccept((answer) -> this.context.serial().execute(() -> transaction.ended(answer)));
		this.context.transactions().end(transaction, null);
		transaction.pool().release(transaction.connection(), transaction.connection().isOpen());
	}

	void rolledBack(PendingRequest request, MemberResponse reply) {
		OpenTransaction transaction = of(request).orElseThrow();
		ExecuteAnswer answer = ExecuteAnswer.done(reply.body(), reply.term(), reply.position(), transaction.member(),
				false, "");
		this.context.transactions().end(transaction, answer);
		transaction.pool().release(transaction.connection(), transaction.connection().isOpen());
		request.complete(answer);
	}

	void expire(OpenTransaction transaction) {
		MagnolialeadException failure = new MagnolialeadException(ErrorCode.UNKNOWN_TRANSACTION, Step.TRANSACTION,
				transaction.member(),
				"the transaction was rolled back: it lasted too long or its primary was replaced");
		ExecuteAnswer end = transaction.isCommitSent()
				? ExecuteAnswer.failed(new MagnolialeadException(ErrorCode.NO_ANSWER, Step.TRANSACTION,
						transaction.member(), "the commit was not answered"))
				: ExecuteAnswer.failed(failure);
		end(transaction, end);
	}

	void refused(OpenTransaction transaction) {
		end(transaction, ExecuteAnswer.failed(new MagnolialeadException(ErrorCode.UNKNOWN_TRANSACTION, Step.TRANSACTION,
				transaction.member(), "the member refused the transaction")));
	}

	void end(OpenTransaction transaction, ExecuteAnswer end) {
		if (transaction.isOpen()) {
			this.context.transactions().end(transaction, end);
			transaction.pool().release(transaction.connection(), false);
		}
	}

}
