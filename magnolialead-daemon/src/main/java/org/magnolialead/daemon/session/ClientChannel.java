package org.magnolialead.daemon.session;

import org.magnolialead.api.session.StatementReply;

/**
 * Connection to a database client.
 */
public interface ClientChannel {

	/**
	 * Sends the answer to the oldest unanswered statement.
	 * @param reply the answer
	 */
	void reply(StatementReply reply);

	/**
	 * Closes the connection after all pending answers have been sent.
	 */
	void close();

}
