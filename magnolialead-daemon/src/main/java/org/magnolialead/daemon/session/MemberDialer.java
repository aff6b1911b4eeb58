package org.magnolialead.daemon.session;

import java.util.Optional;
import java.util.function.Consumer;

import org.magnolialead.api.MemberDescription;

/**
 * Opens connections to database members.
 */
public interface MemberDialer {

	/**
	 * Opens a connection and checks that the expected member is behind the address.
	 * @param member the member
	 * @param relay peer address of the daemon that relays the connection, or {@code null}
	 * for a direct one
	 * @param handler receives the result on the executor of the sessions
	 * @param closed called on that executor when an opened connection ends
	 */
	void dial(MemberDescription member, String relay, Consumer<DialResult> handler, Runnable closed);

	/**
	 * Reads the answer to a command that asks for the status of a member.
	 * @param reply the answer
	 * @return the status, or empty if the answer does not state one
	 */
	Optional<MemberStatus> status(StatementReply reply);

	/**
	 * Result of an attempt to connect.
	 *
	 * @param channel the connection, or {@code null} if there is none
	 * @param error why there is none, or {@code null}
	 */
	record DialResult(MemberChannel channel, DialError error) {

		public DialResult {
			if ((channel == null) == (error == null)) {
				throw new IllegalArgumentException("either a channel or an error must be given");
			}
		}

	}

}
