package org.magnolialead.daemon.session;

import org.magnolialead.api.session.StatementError;

/**
 * Result of a client's attempt to open a session.
 *
 * @param session the session, or {@code null} if it was refused
 * @param refusal reason of the refusal, or {@code null} if the session is open
 */
public record SessionOpening(ClientSession session, StatementError refusal) {

	public SessionOpening {
		if ((session == null) == (refusal == null)) {
			throw new IllegalArgumentException("either a session or a refusal must be given");
		}
	}

	static SessionOpening refused(StatementError error) {
		return new SessionOpening(null, error);
	}

}
