package org.magnolialead.api;

import java.util.Objects;

/**
 * What a database member announces about itself.
 *
 * @param group name of its database group
 * @param member name of the member, unique in the group
 * @param address IP number and port in the form {@code host:port}
 * @param availabilityZone availability zone of the member
 * @param slots number of statements that it executes at once
 * @param connectionLimit number of connections that it accepts
 * @param leaving whether it asks for no new work
 * @param reportsPrimary whether it reports itself as the primary of its group
 * @param startedAtMilliseconds wall clock time of its start in milliseconds, by which
 * reports of an earlier process of the same member are told apart; 0 if not stated
 */
public record MemberDescription(String group, String member, String address, String availabilityZone, int slots,
		int connectionLimit, boolean leaving, boolean reportsPrimary, long startedAtMilliseconds) {

	public MemberDescription {
		Objects.requireNonNull(group, "group must not be null");
		Objects.requireNonNull(member, "member must not be null");
		Objects.requireNonNull(address, "address must not be null");
		Objects.requireNonNull(availabilityZone, "availabilityZone must not be null");
		if (slots < 1 || connectionLimit < 1) {
			throw new IllegalArgumentException(
					"slots and connectionLimit of member %s/%s must be positive, found %d and %d".formatted(group,
							member, slots, connectionLimit));
		}
	}

	/**
	 * Creates a description without role and time of start.
	 * @param group name of its database group
	 * @param member name of the member
	 * @param address host and port
	 * @param availabilityZone availability zone of the member
	 * @param slots number of statements that it executes at once
	 * @param connectionLimit number of connections that it accepts
	 * @param leaving whether it asks for no new work
	 */
	public MemberDescription(String group, String member, String address, String availabilityZone, int slots,
			int connectionLimit, boolean leaving) {
		this(group, member, address, availabilityZone, slots, connectionLimit, leaving, false, 0);
	}

	/**
	 * Tells whether this report comes from an earlier process than another one.
	 * @param other another report
	 * @return {@code true} if this process started earlier
	 */
	public boolean startedBefore(MemberDescription other) {
		return this.startedAtMilliseconds < other.startedAtMilliseconds;
	}

}
