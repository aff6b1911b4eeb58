package org.magnolialead.daemon.session;

import java.util.function.Consumer;

/**
 * Connection to a database member. Answers come in the order of the commands, on the
 * executor of the sessions.
 */
public interface MemberChannel {

	/**
	 * Sends a command.
	 * @param command the command
	 * @param handler receives the answer, or {@link StatementReply#CONNECTION_LOST} if
	 * the connection ends before
	 */
	void send(MemberCommand command, Consumer<StatementReply> handler);

	/**
	 * Tells whether the connection is open.
	 * @return {@code false} once it has ended
	 */
	boolean isOpen();

	/**
	 * Closes the connection. An open transaction is rolled back by the member.
	 */
	void close();

}
