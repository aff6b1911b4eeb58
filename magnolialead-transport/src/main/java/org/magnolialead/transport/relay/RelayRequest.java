package org.magnolialead.transport.relay;

import java.util.Objects;

/**
 * First message of a connection that asks a daemon to open another one. After the answer
 * both sides send whatever the endpoints say.
 *
 * @param group database group of the member
 * @param member name of the member
 */
public record RelayRequest(String group, String member) {

	public RelayRequest {
		Objects.requireNonNull(group, "group must not be null");
		Objects.requireNonNull(member, "member must not be null");
	}

}
