package org.magnolialead.daemon.session;

import org.magnolialead.engine.session.PreparedStatement;
import org.magnolialead.engine.session.StatementStage;

/**
 * Open transaction of a session. It is begun at a member with its first statement.
 */
interface Transaction {

	/**
	 * Returns whether the transaction only reads.
	 * @return {@code true} if it must not write
	 */
	boolean isReadOnly();

	/**
	 * Runs a statement of the transaction.
	 * @param statement the statement
	 * @param prepared the prepared statement that it executes, or {@code null}
	 * @param writes whether the statement writes
	 * @param deadline time in nanoseconds by which the statement must be answered
	 */
	void run(ClientStatement statement, PreparedStatement prepared, boolean writes, long deadline);

	/**
	 * Returns the point that the statement in progress has reached.
	 * @return the stage
	 */
	StatementStage stage();

	/**
	 * Rolls the transaction back.
	 * @param answerPending whether the answer to a statement is still pending
	 */
	void rollBack(boolean answerPending);

}
