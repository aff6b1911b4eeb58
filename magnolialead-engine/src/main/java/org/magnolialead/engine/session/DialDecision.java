package org.magnolialead.engine.session;

import java.util.List;
import java.util.Objects;

/**
 * Decision about a new connection to a member.
 *
 * @param <C> type of the connections
 * @param purpose purpose of the new connection, or {@code null} if none is opened
 * @param evicted connections of other client accounts that are closed before, so that the
 * maximum is not exceeded
 */
public record DialDecision<C>(ConnectionPurpose purpose, List<C> evicted) {

	public DialDecision {
		evicted = List.copyOf(evicted);
		if (purpose == null && !evicted.isEmpty()) {
			throw new IllegalArgumentException("connections must be closed for a new one only");
		}
	}

	static <C> DialDecision<C> none() {
		return new DialDecision<>(null, List.of());
	}

	static <C> DialDecision<C> dial(ConnectionPurpose purpose) {
		return new DialDecision<>(Objects.requireNonNull(purpose, "purpose must not be null"), List.of());
	}

	/**
	 * Tells whether a connection is opened.
	 * @return {@code true} if it is
	 */
	public boolean dials() {
		return this.purpose != null;
	}

}
