package org.magnolialead.api.message;

import java.util.List;
import java.util.Objects;

/**
 * Answer of a control daemon to a request for tokens.
 *
 * @param leaderAddress peer address of the control leader if known, otherwise an empty
 * string
 * @param leader whether the answer is that of the leader; otherwise nothing is granted
 * @param grants grants by account, one for each demand of the request
 */
public record QuotaAnswer(String leaderAddress, boolean leader, List<QuotaGrant> grants) {

	public QuotaAnswer {
		Objects.requireNonNull(leaderAddress, "leaderAddress must not be null");
		grants = List.copyOf(grants);
	}

	/**
	 * Creates the answer of a control daemon that may not grant tokens.
	 * @param leaderAddress peer address of the control leader if known, otherwise an
	 * empty string
	 * @return the answer
	 */
	public static QuotaAnswer notLeader(String leaderAddress) {
		return new QuotaAnswer(leaderAddress, false, List.of());
	}

}
