package org.magnolialead.engine.quota;

import org.magnolialead.api.RateLimit;

/**
 * Operations that operators permit beyond the rate limits of client accounts. In any
 * window an account may have {@code (rate * window + burst) * (1 + excess) + slack}
 * operations.
 *
 * @param windowSeconds length of the window in seconds
 * @param excess permitted excess as a part of the limit
 * @param slack permitted number of operations beyond that
 */
public record RateLimitTolerance(int windowSeconds, double excess, int slack) {

	/**
	 * Tolerance of operators who permit nothing beyond the limits.
	 */
	public static final RateLimitTolerance NONE = new RateLimitTolerance(1, 0, 0);

	/**
	 * Part of the permitted rate that is granted. The rest is for what an earlier leader
	 * granted and for tokens that daemons grant themselves.
	 */
	private static final double GRANTED_PART = 0.9;

	public RateLimitTolerance {
		boolean valid = windowSeconds > 0 && slack >= 0 && excess >= 0 && Double.isFinite(excess);
		if (!valid) {
			throw new IllegalArgumentException(
					"windowSeconds must be positive, excess and slack not negative, found %d, %s and %d"
						.formatted(windowSeconds, excess, slack));
		}
	}

	/**
	 * Returns the limit by which tokens are granted, such that no window has more
	 * operations than permitted although tokens are used later than they are granted.
	 * @param limit limit of the account
	 * @return a limit with the same burst and at least the same rate; an account without
	 * a rate gets none
	 */
	RateLimit applyTo(RateLimit limit) {
		if (limit.operationsPerSecond() == 0) {
			return limit;
		}
		double permitted = (limit.operationsPerSecond() * this.windowSeconds + limit.burst()) * (1 + this.excess)
				+ this.slack;
		double seconds = this.windowSeconds + AccountQuota.VALIDITY_NANOSECONDS / TokenBucket.NANOSECONDS_PER_SECOND;
		double perSecond = GRANTED_PART * (permitted - limit.burst()) / seconds;
		return new RateLimit(Math.max(limit.operationsPerSecond(), perSecond), limit.burst());
	}

}
