package org.magnolialead.engine.quota;

import org.magnolialead.api.RateLimit;

/**
 * Rate at which a daemon grants itself tokens while no control leader answers. The
 * daemons share the limit in proportion to what the leader granted to each of them, so
 * that an account below its limit can go on as before, and together they stay below the
 * limit.
 */
final class SelfGrantedRate {

	/**
	 * Part of the limit that the daemons share. The rest is for daemons whose shares are
	 * of different times.
	 */
	static final double PART = 0.8;

	private SelfGrantedRate() {
	}

	/**
	 * Returns the rate of a daemon.
	 * @param limit limit of the account, or {@code null} if it is not known
	 * @param grantedPerSecond tokens per second that the daemon was granted
	 * @param fleetPerSecond tokens per second that all daemons were granted; 0 if it is
	 * not known, in which case the daemon goes on at a part of its own rate
	 * @return tokens per second
	 */
	static double perSecond(RateLimit limit, double grantedPerSecond, double fleetPerSecond) {
		if (limit == null || fleetPerSecond <= 0) {
			double rate = grantedPerSecond * PART;
			return (limit != null) ? Math.min(rate, limit.operationsPerSecond()) : rate;
		}
		double share = grantedPerSecond / Math.max(fleetPerSecond, grantedPerSecond);
		return limit.operationsPerSecond() * share * PART;
	}

}
