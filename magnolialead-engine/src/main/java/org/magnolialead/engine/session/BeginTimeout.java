package org.magnolialead.engine.session;

/**
 * Calculates the timeout of the request that begins a transaction, after which the path
 * to the member counts as failed. A member answers this request without a slot, so the
 * response takes one round trip even under load. A primary that stops responding is
 * thereby detected earlier than by a statement timeout, which has to allow for a full
 * queue.
 */
public final class BeginTimeout {

	/**
	 * Minimum timeout in nanoseconds; several times the round trip between availability
	 * zones.
	 */
	static final long MINIMUM_NANOSECONDS = 120_000_000L;

	/** Maximum timeout in nanoseconds; the time that a statement may take. */
	static final long MAXIMUM_NANOSECONDS = 350_000_000L;

	/** Multiple of the smoothed response time, which allows for long network queues. */
	private static final int RESPONSE_TIME_FACTOR = 8;

	private BeginTimeout() {
	}

	/**
	 * Returns the timeout of the next begin request.
	 * @param smoothedNanoseconds smoothed response time of earlier begin requests, in
	 * nanoseconds
	 * @return the timeout in nanoseconds
	 */
	public static long nanoseconds(long smoothedNanoseconds) {
		return Math.max(MINIMUM_NANOSECONDS, Math.min(MAXIMUM_NANOSECONDS, RESPONSE_TIME_FACTOR * smoothedNanoseconds));
	}

}
