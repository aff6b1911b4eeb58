package org.magnolialead.engine.session;

import org.magnolialead.api.session.StatementError;

/**
 * Point that a statement has reached when it ends without the answer of a member. It
 * alone determines what the client is told: an error that promises that nothing is kept
 * is returned only if nothing that was sent can still take effect.
 */
public enum StatementStage {

	/** Single statement that was not sent to a member. */
	WAITING(StatementError.OVERLOADED, StatementError.OVERLOADED),
	/** Statement or commit of a transaction that was not sent to the member. */
	TRANSACTION_WAITING(StatementError.ROLLED_BACK, StatementError.ROLLED_BACK),
	/**
	 * Statement of a transaction that was sent. Without a commit the transaction can only
	 * be rolled back.
	 */
	TRANSACTION_SENT(StatementError.ROLLED_BACK, StatementError.ROLLED_BACK),
	/** Single read that was sent. */
	READ_SENT(StatementError.FAILED, StatementError.TIMED_OUT),
	/** Single write that was sent. */
	WRITE_SENT(StatementError.UNKNOWN_OUTCOME, StatementError.TIMED_OUT),
	/** Commit that was sent. */
	COMMIT_SENT(StatementError.UNKNOWN_OUTCOME, StatementError.UNKNOWN_OUTCOME);

	private final StatementError errorAfterLoss;

	private final StatementError errorAfterTimeout;

	StatementStage(StatementError errorAfterLoss, StatementError errorAfterTimeout) {
		this.errorAfterLoss = errorAfterLoss;
		this.errorAfterTimeout = errorAfterTimeout;
	}

	/**
	 * Returns the stage of a statement outside a transaction.
	 * @param writes whether the statement writes
	 * @param sent whether the statement was, or may have been, sent to a member
	 * @return the stage
	 */
	public static StatementStage ofSingle(boolean writes, boolean sent) {
		if (!sent) {
			return WAITING;
		}
		return writes ? WRITE_SENT : READ_SENT;
	}

	/**
	 * Returns the stage of a statement in a transaction.
	 * @param commit whether the statement commits the transaction
	 * @param sent whether the statement was, or may have been, sent to a member
	 * @return the stage
	 */
	public static StatementStage ofTransaction(boolean commit, boolean sent) {
		if (!sent) {
			return TRANSACTION_WAITING;
		}
		return commit ? COMMIT_SENT : TRANSACTION_SENT;
	}

	/**
	 * Returns the error for a statement whose answer was lost: a connection was closed,
	 * or a daemon shut down.
	 * @return the error
	 */
	public StatementError errorAfterLoss() {
		return this.errorAfterLoss;
	}

	/**
	 * Returns the error for a statement whose deadline has passed.
	 * @return the error
	 */
	public StatementError errorAfterTimeout() {
		return this.errorAfterTimeout;
	}

	/**
	 * Tells whether a member may have run the statement.
	 * @return {@code false} if it was certainly not sent
	 */
	public boolean mayHaveRun() {
		return this != WAITING && this != TRANSACTION_WAITING;
	}

}
