package org.magnolialead.daemon.session;

import java.util.Objects;
import java.util.Optional;

import org.magnolialead.api.LogPosition;
import org.magnolialead.engine.session.PromotionChoice.Candidate;

/**
 * Status that a member gave of itself.
 *
 * @param pool connections to the member
 * @param primary whether it leads
 * @param term term that it follows
 * @param received position that it has received, which may be ahead of what reads see
 */
record MemberStatus(MemberPool pool, boolean primary, long term, LogPosition received) {

	private static final String PRIMARY = "primary";

	private static final int FIELDS = 3;

	MemberStatus {
		Objects.requireNonNull(pool, "pool must not be null");
		Objects.requireNonNull(received, "received must not be null");
	}

	/**
	 * Reads an answer.
	 * @param pool connections to the member
	 * @param reply the answer; its first row has role, term and position received
	 * @return the status, or empty if the answer does not have that form
	 */
	static Optional<MemberStatus> parse(MemberPool pool, StatementReply reply) {
		if (!reply.isDone() || reply.rows().isEmpty()) {
			return Optional.empty();
		}
		String[] fields = reply.rows().get(0).split(" ");
		if (fields.length < FIELDS) {
			return Optional.empty();
		}
		try {
			return Optional.of(new MemberStatus(pool, fields[0].equals(PRIMARY), Long.parseLong(fields[1]),
					LogPosition.parse(fields[2])));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	Candidate candidate() {
		return new Candidate(this.pool.member().member(), this.received, this.pool.member().leaving());
	}

}
