package org.magnolialead.api;

import java.util.Objects;

/**
 * Routing rule for the sessions of one database: which group serves them, and the
 * consistency, priority and timeout that apply.
 *
 * @param database name of the database that clients connect to
 * @param group name of the database group that serves the database
 * @param freshness freshness rule for reads
 * @param maximumAgeMilliseconds maximum age in milliseconds of a commit that a read may
 * miss; 0 if replicas must not serve reads
 * @param priority priority of the statements; 0 is served first
 * @param statementTimeoutMilliseconds timeout of one statement in milliseconds
 * @param publicAccess whether clients without a known key may use the database
 */
public record Route(String database, String group, FreshnessRule freshness, long maximumAgeMilliseconds, int priority,
		long statementTimeoutMilliseconds, boolean publicAccess) {

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
	 * Creates a route for which clients need a key if there are client accounts.
	 * @param database name of the database that clients connect to
	 * @param group name of the database group that serves the database
	 * @param freshness freshness rule for reads
	 * @param maximumAgeMilliseconds maximum age in milliseconds of a commit that a read
	 * may miss; 0 if replicas must not serve reads
	 * @param priority priority of the statements; 0 is served first
	 * @param statementTimeoutMilliseconds timeout of one statement in milliseconds
	 */
	public Route(String database, String group, FreshnessRule freshness, long maximumAgeMilliseconds, int priority,
			long statementTimeoutMilliseconds) {
		this(database, group, freshness, maximumAgeMilliseconds, priority, statementTimeoutMilliseconds, false);
	}

	/**
	 * Returns whether replicas may serve reads of this route.
	 * @return {@code true} if the freshness rule permits replicas and the maximum age is
	 * positive
	 */
	public boolean permitsReplica() {
		return this.freshness.permitsReplica() && this.maximumAgeMilliseconds > 0;
	}

}
