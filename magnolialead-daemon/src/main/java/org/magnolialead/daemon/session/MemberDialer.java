package org.magnolialead.daemon.session;

import java.util.Optional;
import java.util.function.Consumer;

import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.session.StatementReply;

/**
 * Opens connections to database members.
 */
public interface MemberDialer {

	/**
	 * Opens a connection and checks that the expected member uses the address.
	 * @param member the member
	 * @param relay peer address of the daemon that relays the connection, or {@code null}
	 * for a direct connection
	 * @param account client account for which the connection is used, or an empty string
	 * @param handler receives the result on the serial executor of the sessions
	 * @param listener receives the events of the opened connection on the same executor
	 */
	void dial(MemberDescription member, String relay, String account, Consumer<DialResult> handler,
			MemberChannelListener listener);

	/**
	 * Parses the answer to a status command.
	 * @param reply the answer
	 * @return the status, or empty if the answer is an error or malformed
	 */
	Optional<MemberStatus> status(StatementReply reply);

	/**
	 * Result of a connection attempt.
	 *
	 * @param channel the connection, or {@code null} if the attempt failed
	 * @param error cause of the failure, or {@code null} if the connection is open
	 */
	record DialResult(MemberChannel channel, DialError error) {

		public DialResult {
			if ((channel == null) == (error == null)) {
				throw new IllegalArgumentException("either a channel or an error must be given");
			}
		}

	}

}
