package org.magnolialead.daemon.session;

import java.util.Objects;

import org.magnolialead.api.LogPosition;
import org.magnolialead.engine.session.ReplicationTerm;

/**
 * Status of a member as reported by itself.
 *
 * @param primary whether it is the primary
 * @param term term in which the member leads or follows
 * @param received log position that it has received, which may be ahead of the applied
 * position that reads see
 * @param pauseTerm term with which the member was paused, or {@link ReplicationTerm#NONE}
 */
public record MemberStatus(boolean primary, ReplicationTerm term, LogPosition received, ReplicationTerm pauseTerm) {

	public MemberStatus {
		Objects.requireNonNull(term, "term must not be null");
		Objects.requireNonNull(received, "received must not be null");
		Objects.requireNonNull(pauseTerm, "pauseTerm must not be null");
	}

	/**
	 * Tells whether the member is a replica that receives no commits.
	 * @return {@code true} if it was paused and not resumed since
	 */
	public boolean isPaused() {
		return !this.primary && this.pauseTerm.compareTo(this.term) > 0;
	}

}
