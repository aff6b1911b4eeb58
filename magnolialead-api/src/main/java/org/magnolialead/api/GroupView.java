package org.magnolialead.api;

import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Database group as described in the fleet view.
 *
 * @param group name of the group
 * @param version view version at which this record last changed
 * @param term term of the primary; 0 before the first primary is confirmed
 * @param primary name of the primary, or an empty string if none is confirmed
 * @param reservedTerm highest term reserved for a promotion; at least {@code term}
 * @param candidate member that the reserved promotion is for, or an empty string
 * @param owner name of the owning daemon, or an empty string if none is assigned
 * @param ownerEpoch number of owner assignments so far
 * @param releaseRequested whether the control leader has asked the owner to finish its
 * work and to release the group, so that it can move to another daemon
 * @param members members by name
 */
public record GroupView(String group, long version, long term, String primary, long reservedTerm, String candidate,
		String owner, long ownerEpoch, boolean releaseRequested, Map<String, MemberDescription> members) {

	public GroupView {
		Objects.requireNonNull(group, "group must not be null");
		Objects.requireNonNull(primary, "primary must not be null");
		Objects.requireNonNull(candidate, "candidate must not be null");
		Objects.requireNonNull(owner, "owner must not be null");
		members = Map.copyOf(members);
		if (reservedTerm < term) {
			throw new IllegalArgumentException(
					"reservedTerm %d must not be less than term %d".formatted(reservedTerm, term));
		}
	}

	/**
	 * Creates a view of a group whose owner has not been asked to release it.
	 * @param group name of the group
	 * @param version view version at which this record last changed
	 * @param term term of the primary
	 * @param primary name of the primary, or an empty string
	 * @param reservedTerm highest term reserved for a promotion
	 * @param candidate member that the reserved promotion is for, or an empty string
	 * @param owner name of the owning daemon, or an empty string
	 * @param ownerEpoch number of owner assignments so far
	 * @param members members by name
	 */
	public GroupView(String group, long version, long term, String primary, long reservedTerm, String candidate,
			String owner, long ownerEpoch, Map<String, MemberDescription> members) {
		this(group, version, term, primary, reservedTerm, candidate, owner, ownerEpoch, false, members);
	}

	/**
	 * Returns the member with a name.
	 * @param member name of the member
	 * @return its description, or empty if the group has no such member
	 */
	public Optional<MemberDescription> member(String member) {
		return Optional.ofNullable(this.members.get(member));
	}

	/**
	 * Returns the number of members that form a majority.
	 * @return the smallest number that is more than half of the members
	 */
	public int majority() {
		return this.members.size() / 2 + 1;
	}

	/**
	 * Returns all members.
	 * @return the member descriptions in no particular order
	 */
	public Collection<MemberDescription> allMembers() {
		return this.members.values();
	}

}
