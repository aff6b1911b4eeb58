package org.magnolialead.engine.control;

import java.util.ArrayList;
import java.util.List;

/**
 * Latest removals of database members. A delayed announcement of a removed process must
 * not put it back in use.
 *
 * @param removals removals, the oldest first
 */
public record RemovedMembers(List<Removal> removals) {

	/**
	 * Number of retained removals. Announcements are delayed by seconds, and fewer
	 * members leave in that time.
	 */
	static final int LIMIT = 500;

	static final RemovedMembers NONE = new RemovedMembers(List.of());

	public RemovedMembers {
		// Snapshots of earlier versions have no removals.
		removals = (removals != null) ? List.copyOf(removals) : List.of();
	}

	RemovedMembers with(Removal removal) {
		List<Removal> next = new ArrayList<>(this.removals);
		next.add(removal);
		return new RemovedMembers((next.size() > LIMIT) ? next.subList(1, next.size()) : next);
	}

	boolean contains(String group, String member, long startedAtMilliseconds) {
		return this.removals.stream()
			.anyMatch((removal) -> removal.group().equals(group) && removal.member().equals(member)
					&& startedAtMilliseconds <= removal.startedAtMilliseconds());
	}

	/**
	 * Removal of a member.
	 *
	 * @param group name of its group
	 * @param member name of the member
	 * @param startedAtMilliseconds time at which the removed process started, in
	 * milliseconds since the Unix epoch
	 */
	public record Removal(String group, String member, long startedAtMilliseconds) {
	}

}
