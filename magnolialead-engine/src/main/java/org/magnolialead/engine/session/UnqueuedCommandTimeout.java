package org.magnolialead.engine.session;

/**
 * Calculates the timeout of a command that does not wait for a slot of the member: the
 * begin of a transaction, or a step that aligns a connection with a session. Its answer
 * takes one round trip even under load, so a timeout means that the path to the member
 * has failed. A primary that stops responding is thereby detected earlier than by a
 * statement timeout, which has to allow for a full queue.
 */
public final class UnqueuedCommandTimeout {

	/**
	 * Minimum timeout in nanoseconds; several times the round trip between availability
	 * zones.
	 */
	static final long MINIMUM_NANOSECONDS = 120_000_000L;

	/** Maximum timeout in nanoseconds; the time that a statement may take. */
	static final long MAXIMUM_NANOSECONDS = 350_000_000L;

	/** Multiple of the smoothed response time, which allows for long network queues. */
	private static final int RESPONSE_TIME_FACTOR = 8;

	private UnqueuedCommandTimeout() {
	}

	/**
	 * Returns the timeout of the next command.
	 * @param smoothedNanoseconds smoothed response time of earlier commands of this kind,
	 * in nanoseconds
	 * @return the timeout in nanoseconds
	 */
	public static long nanoseconds(long smoothedNanoseconds) {
		return Math.max(MINIMUM_NANOSECONDS, Math.min(MAXIMUM_NANOSECONDS, RESPONSE_TIME_FACTOR * smoothedNanoseconds));
	}

}
