package org.magnolialead.engine.session;

/**
 * Decides how long the begin of a transaction may stay unanswered before the path to the
 * member counts as failed. A begin takes no slot, so it is answered within a round trip
 * however busy the member is. Answers a primary that goes dark: without it statements
 * wait for the silence of a statement, which a full queue makes long.
 */
public final class BeginTimeout {

	/** Far more than a round trip between availability zones, in nanoseconds. */
	static final long MINIMUM_NANOSECONDS = 120_000_000L;

	/** The time that a statement may take, in nanoseconds. */
	static final long MAXIMUM_NANOSECONDS = 350_000_000L;

	/** Multiple of the smoothed time, for links whose queues are long. */
	private static final int RESPONSE_TIME_FACTOR = 8;

	private BeginTimeout() {
	}

	/**
	 * Returns the limit.
	 * @param smoothedNanoseconds smoothed time of earlier answers
	 * @return the limit in nanoseconds
	 */
	public static long nanoseconds(long smoothedNanoseconds) {
		return Math.max(MINIMUM_NANOSECONDS, Math.min(MAXIMUM_NANOSECONDS, RESPONSE_TIME_FACTOR * smoothedNanoseconds));
	}

}
