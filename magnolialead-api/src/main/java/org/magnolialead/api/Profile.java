package org.magnolialead.api;

import java.util.Objects;

/**
 * Named set of scheduling, freshness and durability rules that a client selects for a
 * request.
 *
 * @param name name of the profile, not blank and at most 64 characters long
 * @param rank urgency of the requests
 * @param freshness freshness rule for reads
 * @param maximumAgeMilliseconds maximum age in milliseconds of the data that a read
 * returns; positive if the freshness rule bounds the age, otherwise 0
 * @param repeatable whether a request may be sent to a database more than once
 * @param replicatedConfirmation whether a write is acknowledged only after a majority of
 * the group's members hold it
 */
public record Profile(String name, Rank rank, FreshnessRule freshness, long maximumAgeMilliseconds, boolean repeatable,
		boolean replicatedConfirmation) {

	/**
	 * Maximum length of a profile name in characters.
	 */
	public static final int MAXIMUM_NAME_LENGTH = 64;

	public Profile {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(rank, "rank must not be null");
		Objects.requireNonNull(freshness, "freshness must not be null");
		if (name.isBlank() || name.length() > MAXIMUM_NAME_LENGTH) {
			throw new IllegalArgumentException("profile name must have 1 to %d characters, found %d"
				.formatted(MAXIMUM_NAME_LENGTH, name.length()));
		}
		if (freshness.boundsAge() != (maximumAgeMilliseconds > 0)) {
			throw new IllegalArgumentException("maximum age of profile \"%s\" must be %s, found %d ms".formatted(name,
					freshness.boundsAge() ? "positive" : "0", maximumAgeMilliseconds));
		}
	}
}
