package org.magnolialead.api;

import java.util.Objects;

/**
 * Rule for the sessions of one database: which group serves them and under which
 * promises.
 *
 * @param database name that clients connect to
 * @param group name of the database group that serves it
 * @param freshness what reads must see
 * @param maximumAgeMilliseconds greatest age in milliseconds of a commit that a read may
 * miss, 0 if replicas may not be used
 * @param priority urgency, 0 is served first
 * @param statementTimeoutMilliseconds longest time in milliseconds for one statement
 */
public record Route(String database, String group, FreshnessRule freshness, long maximumAgeMilliseconds, int priority,
		long statementTimeoutMilliseconds) {

	public Route {
		Objects.requireNonNull(database, "database must not be null");
		Objects.requireNonNull(group, "group must not be null");
		Objects.requireNonNull(freshness, "freshness must not be null");
		if (statementTimeoutMilliseconds < 1) {
			throw new IllegalArgumentException("statement timeout of route \"%s\" must be positive, found %d ms"
				.formatted(database, statementTimeoutMilliseconds));
		}
		if (maximumAgeMilliseconds < 0 || priority < 0) {
			throw new IllegalArgumentException(
					"maximum age and priority of route \"%s\" must not be negative, found %d ms and %d"
						.formatted(database, maximumAgeMilliseconds, priority));
		}
	}

	/**
	 * Tells whether replicas may serve reads of this route.
	 * @return {@code true} if the age of reads is bounded
	 */
	public boolean permitsReplica() {
		return this.freshness.permitsReplica() && this.maximumAgeMilliseconds > 0;
	}

}
