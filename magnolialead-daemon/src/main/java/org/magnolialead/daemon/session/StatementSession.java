package org.magnolialead.daemon.session;

import java.util.Map;

import org.magnolialead.api.LogPosition;
import org.magnolialead.api.Route;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.engine.session.ReadPlan;

/**
 * Session on whose behalf statements run at members: of a client of this daemon, or of
 * another daemon that forwards the statements of its client.
 */
interface StatementSession {

	SessionContext context();

	Route route();

	/**
	 * Returns the client account on whose behalf the current transaction runs.
	 * @return name of the account, or an empty string if there is none
	 */
	String account();

	GroupRouter router();

	StatementLog statementLog();

	Map<String, String> sessionVariables();

	/**
	 * Decides which members may serve a read.
	 * @param receivedAt time in nanoseconds before the first byte of the read, or of its
	 * transaction, arrived
	 * @return the plan
	 */
	ReadPlan readPlan(long receivedAt);

	/**
	 * Records the log position of a commit of this session.
	 * @param committed the position, or {@code null} if the member reported none
	 */
	void recordCommit(LogPosition committed);

	/**
	 * Answers the current statement. An open transaction goes on.
	 * @param reply the answer
	 */
	void answer(StatementReply reply);

	/**
	 * Answers the statement that has ended the transaction.
	 * @param reply the answer
	 */
	void transactionEnded(StatementReply reply);

	/**
	 * Answers the statement with which the transaction has failed.
	 * @param reply the answer
	 */
	void transactionFailed(StatementReply reply);

}
