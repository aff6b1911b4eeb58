package org.magnolialead.daemon.session;

import java.util.function.Consumer;

import org.magnolialead.api.session.StatementReply;

/**
 * Connection to a database member. Answers arrive in the order of the commands, on the
 * serial executor of the sessions.
 */
public interface MemberChannel {

	/**
	 * Sends a command.
	 * @param command the command
	 * @param handler receives the answer, or {@link StatementReply#CONNECTION_LOST} if
	 * the connection is lost first
	 */
	void send(MemberCommand command, Consumer<StatementReply> handler);

	/**
	 * Tells whether the connection is open.
	 * @return {@code false} once the connection is closed
	 */
	boolean isOpen();

	/**
	 * Closes the connection. The member rolls back an open transaction.
	 */
	void close();

}
