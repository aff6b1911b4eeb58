package org.magnolialead.transport.member;

import java.util.Objects;

import org.magnolialead.api.LogPosition;

/**
 * Response of a database member.
 *
 * @param status HTTP status code
 * @param term current term of the member
 * @param position log position of the write, or position of the member's log
 * @param member name of the member
 * @param body JSON document in UTF-8
 */
public record MemberResponse(int status, long term, LogPosition position, String member, byte[] body) {

	public MemberResponse {
		Objects.requireNonNull(position, "position must not be null");
		Objects.requireNonNull(member, "member must not be null");
		Objects.requireNonNull(body, "body must not be null");
	}

}
