package org.magnolialead.transport.relay;

import java.util.Objects;

/**
 * First message on a connection to a relay, which asks it to connect to a member. After a
 * positive answer, the relay forwards all bytes between the two endpoints.
 *
 * @param group name of the member's database group
 * @param member name of the member
 */
public record RelayRequest(String group, String member) {

	public RelayRequest {
		Objects.requireNonNull(group, "group must not be null");
		Objects.requireNonNull(member, "member must not be null");
	}

}
