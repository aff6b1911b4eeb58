package org.magnolialead.transport.member;

import java.util.Objects;

/**
 * Request to a database member.
 *
 * @param method HTTP method in upper case
 * @param pathAndQuery path including the query string
 * @param body JSON document in UTF-8, or an empty array
 */
public record MemberRequest(String method, String pathAndQuery, byte[] body) {

	public MemberRequest {
		Objects.requireNonNull(method, "method must not be null");
		Objects.requireNonNull(pathAndQuery, "pathAndQuery must not be null");
		Objects.requireNonNull(body, "body must not be null");
	}

}
