package org.magnolialead.daemon.session;

import java.util.Objects;

import org.magnolialead.api.LogPosition;

/**
 * Status that a member gave of itself.
 *
 * @param primary whether it leads
 * @param term term that it follows
 * @param received position that it has received, which may be ahead of what reads see
 */
public record MemberStatus(boolean primary, long term, LogPosition received) {

	public MemberStatus {
		Objects.requireNonNull(received, "received must not be null");
	}
}
