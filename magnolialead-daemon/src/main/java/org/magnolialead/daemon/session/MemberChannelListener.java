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
	 * A reply was received whose form is not that of the command to which it was matched.
	 */
	void replyMismatched();

}
