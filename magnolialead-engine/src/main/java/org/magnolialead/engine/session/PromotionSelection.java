package org.magnolialead.engine.session;

import java.util.Collection;
import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;

import org.magnolialead.api.LogPosition;

/**
 * Chooses the member that replaces a primary.
 */
public final class PromotionSelection {

	private PromotionSelection() {
	}

	/**
	 * Returns the member that has received most, because a promotion rolls the others
	 * back to what it has. A member that leaves is taken only if no other answers.
	 * @param candidates members that answered
	 * @return the member, or empty if none answered
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
	 * @param receivedPosition position that it has received
	 * @param leaving whether it is about to leave
	 */
	public record Candidate(String member, LogPosition receivedPosition, boolean leaving) {

		public Candidate {
			Objects.requireNonNull(member, "member must not be null");
			Objects.requireNonNull(receivedPosition, "receivedPosition must not be null");
		}
	}

}
