package org.magnolialead.api;

import java.util.Objects;

/**
 * Answer of a database member to a status request.
 *
 * @param group name of its database group
 * @param member name of the member
 * @param role role of the member
 * @param term current term of the member
 * @param position position of the last record in its log
 */
public record MemberStatus(String group, String member, MemberRole role, long term, LogPosition position) {

	public MemberStatus {
		Objects.requireNonNull(group, "group must not be null");
		Objects.requireNonNull(member, "member must not be null");
		Objects.requireNonNull(role, "role must not be null");
		Objects.requireNonNull(position, "position must not be null");
	}
}
