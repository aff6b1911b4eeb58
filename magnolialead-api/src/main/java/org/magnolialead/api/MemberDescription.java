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
 */
public record MemberDescription(String group, String member, String address, String availabilityZone, int slots,
		int connectionLimit, boolean leaving) {

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
}
