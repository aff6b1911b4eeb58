package org.magnolialead.daemon.session;

/**
 * Receives the events of a connection to a database member on the serial executor of the
 * sessions.
 */
public interface MemberChannelListener {

	/**
	 * The connection was closed.
	 */
	void closed();

	/**
	 * A reply was received that the member had sent on this connection before.
	 */
	void replyRepeated();

	/**
	 * Tells whether the member is expected to repeat replies, on any connection.
	 * @return {@code true} for some time after it has repeated one
	 */
	boolean repeatsReplies();

	/**
	 * A reply was received that belongs to no command, so the connection is closed.
	 */
	void replyRefused();

	/**
	 * A command was sent only to find out to which command a reply belongs.
	 */
	void probeSent();

}
