package org.magnolialead.daemon.servicelevel;

import java.util.Objects;

import org.magnolialead.api.Outcome;

/**
 * Properties of an answered request that service levels record.
 *
 * @param outcome outcome reported to the caller
 * @param withinDeadline whether it was executed and answered before its deadline
 * @param read whether it was a single read
 * @param byReplica whether a replica served it
 */
public record ServedRequest(Outcome outcome, boolean withinDeadline, boolean read, boolean byReplica) {

	public ServedRequest {
		Objects.requireNonNull(outcome, "outcome must not be null");
		if (withinDeadline && outcome != Outcome.DONE) {
			throw new IllegalArgumentException(
					"a request with outcome %s cannot be within its deadline".formatted(outcome));
		}
	}
}
