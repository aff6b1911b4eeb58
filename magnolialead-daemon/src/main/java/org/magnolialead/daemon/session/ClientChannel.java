package org.magnolialead.daemon.session;

/**
 * Connection of a database client.
 */
public interface ClientChannel {

	/**
	 * Sends the answer to the oldest statement that has none.
	 * @param reply the answer
	 */
	void reply(StatementReply reply);

	/**
	 * Closes the connection after all answers have been sent.
	 */
	void close();

}
