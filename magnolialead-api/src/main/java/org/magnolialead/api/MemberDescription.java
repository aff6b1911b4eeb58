package org.magnolialead.api;

import java.util.Objects;

/**
 * Description of a database member that the member announces itself.
 *
 * @param group name of its database group
 * @param member name of the member, unique in the group
 * @param address IP address and port in the form {@code host:port}
 * @param availabilityZone availability zone of the member
 * @param slots number of statements that it executes concurrently
 * @param connectionLimit maximum number of connections that it accepts
 * @param leaving whether it is draining and asks to receive no new work
 * @param reportsPrimary whether it reports itself as the primary of its group
 * @param startedAtMilliseconds wall-clock time at which its process started, in
 * milliseconds; identifies reports of an earlier process of the same member; 0 if not
 * reported
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
	 * Creates a description without a reported role and start time.
	 * @param group name of its database group
	 * @param member name of the member
	 * @param address address in the form {@code host:port}, with an IP address as host
	 * @param availabilityZone availability zone of the member
	 * @param slots number of statements that it executes concurrently
	 * @param connectionLimit maximum number of connections that it accepts
	 * @param leaving whether it is draining and asks to receive no new work
	 */
	public MemberDescription(String group, String member, String address, String availabilityZone, int slots,
			int connectionLimit, boolean leaving) {
		this(group, member, address, availabilityZone, slots, connectionLimit, leaving, false, 0);
	}

	/**
	 * Returns whether this report comes from an earlier process than another report.
	 * @param other the other report
	 * @return {@code true} if the process of this report started earlier
	 */
	public boolean startedBefore(MemberDescription other) {
		return this.startedAtMilliseconds < other.startedAtMilliseconds;
	}

}
