package org.magnolialead.daemon.session;

import java.util.Objects;

import org.magnolialead.api.LogPosition;

/**
 * Status of a member as reported by itself.
 *
 * @param primary whether it is the primary
 * @param term replication term of the member
 * @param received log position that it has received, which may be ahead of the applied
 * position that reads see
 */
public record MemberStatus(boolean primary, long term, LogPosition received) {

	public MemberStatus {
		Objects.requireNonNull(received, "received must not be null");
	}
}
