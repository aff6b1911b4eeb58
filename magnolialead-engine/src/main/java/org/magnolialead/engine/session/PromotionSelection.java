package org.magnolialead.engine.session;

import java.util.Collection;
import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;

import org.magnolialead.api.LogPosition;

/**
 * Selects the member that replaces a failed or leaving primary.
 */
public final class PromotionSelection {

	private PromotionSelection() {
	}

	/**
	 * Returns the member with the highest received position, because a promotion rolls
	 * the other members back to the position of the promoted one. A leaving member is
	 * selected only if no other member responded.
	 * @param candidates members that responded
	 * @return the member, or empty if none responded
	 */
	public static Optional<Candidate> select(Collection<Candidate> candidates) {
		return candidates.stream()
			.max(Comparator.comparing(Candidate::leaving)
				.reversed()
				.thenComparing(Candidate::receivedPosition)
				.thenComparing(Candidate::member));
	}

	/**
	 * Member that may be promoted.
	 *
	 * @param member name of the member
	 * @param receivedPosition highest log position that the member has received
	 * @param leaving whether the member is leaving the group
	 */
	public record Candidate(String member, LogPosition receivedPosition, boolean leaving) {

		public Candidate {
			Objects.requireNonNull(member, "member must not be null");
			Objects.requireNonNull(receivedPosition, "receivedPosition must not be null");
		}
	}

}
