package org.magnolialead.engine.session;

/**
 * Decides whether work waits for a primary that is missing. Answers two loads: while a
 * primary is replaced, everyone lacks it for about a second, and a client that is refused
 * spends its retries before the successor leads. A daemon on the wrong side of a
 * partition lacks it for long, and its clients are served elsewhere if it refuses them at
 * once.
 */
public final class OutageRule {

	/** Time within which a failed primary is usually replaced, in nanoseconds. */
	static final long REPLACEMENT_NANOSECONDS = 1_200_000_000L;

	/** Time to find a successor that leads already, in nanoseconds. */
	static final long SEARCH_NANOSECONDS = 300_000_000L;

	private OutageRule() {
	}

	/**
	 * Tells whether work should wait.
	 * @param lostAt time in nanoseconds at which the primary was lost
	 * @param replaced whether the former primary said that another member leads
	 * @param promotionReserved whether a successor is known to be ordered
	 * @param now present time in nanoseconds
	 * @return {@code false} if it should be refused at once
	 */
	public static boolean waits(long lostAt, boolean replaced, boolean promotionReserved, long now) {
		long limit = replaced ? SEARCH_NANOSECONDS : REPLACEMENT_NANOSECONDS;
		return promotionReserved || now - lostAt < limit;
	}

}
