package org.magnolialead.engine.session;

/**
 * Member to which a connection for a read can be opened.
 */
public interface DialCandidate {

	/**
	 * Tells whether the member is regarded as failed.
	 * @return {@code true} after several failures without an answer
	 */
	boolean isUnreachable();

	/**
	 * Returns the time that a read at the member is expected to take.
	 * @return the time in nanoseconds
	 */
	long expectedReadNanoseconds();

	/**
	 * Tells whether attempts to connect are permitted at present.
	 * @param account client account for which the connection would be opened, or an empty
	 * string
	 * @return {@code false} after failed or refused attempts, until their delay is over
	 */
	boolean permitsDial(String account);

	/**
	 * Tells whether the maximum number of connections permits one more, after closing
	 * idle ones of other accounts if necessary.
	 * @param account client account for which it would be opened, or an empty string
	 * @param ahead number of requests of the account that wait before the one for which
	 * it would be opened
	 * @return {@code false} if all connections are in use, or if one of the account is
	 * expected to become free for the request
	 */
	boolean hasRoomFor(String account, int ahead);

	/**
	 * Returns the progress of the attempt to connect for a client account.
	 * @param account name of the account, or an empty string
	 * @return the progress
	 */
	DialProgress dialProgress(String account);

}
