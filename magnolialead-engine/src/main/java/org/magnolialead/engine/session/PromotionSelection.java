package org.magnolialead.engine.session;

import java.util.Collection;
import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

import org.magnolialead.api.LogPosition;

/**
 * Selects the member that replaces a failed or leaving primary.
 */
public final class PromotionSelection {

	private PromotionSelection() {
	}

	/**
	 * Returns how many members must have stated their position before one of them can be
	 * selected. An acknowledged commit is held by the primary and at least as many
	 * replicas as it waits for. Any set of members that leaves out no more than that
	 * number therefore contains a member that holds the latest acknowledged commit.
	 * @param members number of members of the group, including the former primary
	 * @param synchronousReplicas number of replicas that have received a commit before it
	 * is acknowledged
	 * @return the number of members, 1 if commits are replicated asynchronously
	 */
	public static int requiredAnswers(int members, int synchronousReplicas) {
		return (synchronousReplicas == 0) ? 1 : Math.max(1, members - synchronousReplicas);
	}

	/**
	 * Returns the member to promote. A promotion rolls the other members back to the
	 * position of the promoted one, so a member with the highest received position is
	 * selected. With synchronous replicas a leaving member is selected only if no other
	 * member is as far, otherwise only if no other member responded.
	 * @param candidates members that responded
	 * @param requiredAnswers number of members that must have responded, see
	 * {@link #requiredAnswers(int, int)}
	 * @param synchronousReplicas number of replicas that have received a commit before it
	 * is acknowledged
	 * @param outstanding tells by name whether the promotion of a member is outstanding;
	 * such a member is selected again if no other one is further
	 * @return the member, or empty if too few have responded
	 */
	public static Optional<Candidate> select(Collection<Candidate> candidates, int requiredAnswers,
			int synchronousReplicas, Predicate<String> outstanding) {
		if (candidates.size() < requiredAnswers) {
			return Optional.empty();
		}
		Optional<Candidate> best = select(candidates, synchronousReplicas);
		return best
			.flatMap((selected) -> candidates.stream()
				.filter((candidate) -> outstanding.test(candidate.member())
						&& candidate.receivedPosition().includes(selected.receivedPosition()))
				.findFirst())
			.or(() -> best);
	}

	/**
	 * Tells whether a member may be ordered again that held all acknowledged commits when
	 * it was ordered. If a replica has received more since, for example because it was
	 * restarted and thus resumed, a later commit may have been acknowledged with its
	 * help. The former primary has received commits that nobody acknowledged.
	 * @param member name of the ordered member
	 * @param candidates members that responded
	 * @param formerPrimary name of the former primary, or an empty string
	 * @return {@code false} if another replica is further
	 */
	public static boolean mayRepeat(String member, Collection<Candidate> candidates, String formerPrimary) {
		Optional<Candidate> ordered = candidates.stream()
			.filter((candidate) -> candidate.member().equals(member))
			.findFirst();
		return ordered.isEmpty() || candidates.stream()
			.filter((candidate) -> !candidate.member().equals(formerPrimary))
			.allMatch((candidate) -> ordered.get().receivedPosition().includes(candidate.receivedPosition()));
	}

	private static Optional<Candidate> select(Collection<Candidate> candidates, int synchronousReplicas) {
		Comparator<Candidate> byLeaving = Comparator.comparing(Candidate::leaving).reversed();
		Comparator<Candidate> byPosition = Comparator.comparing(Candidate::receivedPosition);
		Comparator<Candidate> order = (synchronousReplicas == 0) ? byLeaving.thenComparing(byPosition)
				: byPosition.thenComparing(byLeaving);
		return candidates.stream().max(order.thenComparing(Candidate::member));
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
