package org.magnolialead.engine.consensus;

import org.magnolialead.api.message.ControlIdentity;

/**
 * Term of a member and its vote in that term.
 *
 * @param term the term
 * @param candidate the member voted for, or {@code null} if no vote was given
 */
public record Vote(long term, ControlIdentity candidate) {

	/** State of a member that has taken part in no election. */
	public static final Vote NONE = new Vote(0, null);

	public Vote {
		if (term < 0) {
			throw new IllegalArgumentException("term must not be negative, found " + term);
		}
	}

}
