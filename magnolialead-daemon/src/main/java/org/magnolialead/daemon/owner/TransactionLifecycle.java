package org.magnolialead.daemon.owner;

import java.util.Optional;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.StatementKind;
import org.magnolialead.api.Step;
import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.transport.member.MemberResponse;

/**
 * Opens and ends the transactions of one group. Confined to the serial executor of the
 * group.
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

	/**
	 * Registers a transaction that a member has opened, or rolls it back if it can no
	 * longer be used.
	 * @param execution the statement that began the transaction
	 * @param reply the member's answer
	 */
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
	 * Ends a transaction whose commit succeeded. A resent commit receives the same
	 * answer.
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

	/**
	 * Ends a transaction that has passed its deadline or lost its primary or its owner.
	 * If a commit was sent, its outcome is unknown.
	 * @param transaction the transaction
	 */
	void expire(OpenTransaction transaction) {
		MagnolialeadException failure = new MagnolialeadException(ErrorCode.UNKNOWN_TRANSACTION, Step.TRANSACTION,
				transaction.member(),
				"the transaction was rolled back: it exceeded its maximum duration or its primary was replaced");
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

	/**
	 * Ends a transaction and closes its connection, which rolls it back unless it was
	 * committed.
	 * @param transaction the transaction; one that has ended is left as it is
	 * @param end answer for a resent commit
	 */
	void end(OpenTransaction transaction, ExecuteAnswer end) {
		if (transaction.isOpen()) {
			this.context.transactions().end(transaction, end);
			transaction.pool().release(transaction.connection(), false);
		}
	}

}
