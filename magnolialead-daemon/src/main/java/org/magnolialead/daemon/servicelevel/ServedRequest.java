package org.magnolialead.daemon.servicelevel;

import java.util.Objects;

import org.magnolialead.api.Outcome;

/**
 * What counts of an answered request.
 *
 * @param outcome outcome that the caller was told
 * @param withinDeadline whether it was executed and answered before its deadline
 * @param read whether it was a single read
 * @param byReplica whether a replica served it
 */
public record ServedRequest(Outcome outcome, boolean withinDeadline, boolean read, boolean byReplica) {

	public ServedRequest {
		Objects.requireNonNull(outcome, "outcome must not be null");
		if (withinDeadline && outcome != Outcome.DONE) {
			throw new IllegalArgumentException("a request with outcome %s has no service".formatted(outcome));
		}
	}
}
