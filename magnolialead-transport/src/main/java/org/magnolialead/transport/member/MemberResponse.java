package org.magnolialead.transport.member;

import java.util.Objects;

import org.magnolialead.api.LogPosition;

/**
 * Answer of a database member.
 *
 * @param status HTTP status code
 * @param term term of the member
 * @param position position of the write, or of the member's log
 * @param member name of the member
 * @param body JSON text in UTF-8
 */
public record MemberResponse(int status, long term, LogPosition position, String member, byte[] body) {

	public MemberResponse {
		Objects.requireNonNull(position, "position must not be null");
		Objects.requireNonNull(member, "member must not be null");
		Objects.requireNonNull(body, "body must not be null");
	}

}
