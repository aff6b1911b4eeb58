package org.magnolialead.daemon.entry;

import java.util.random.RandomGenerator;

/**
 * Delay before control is asked again after it gave no lease or took no command. The
 * delay doubles with each failure and is drawn at random, so that all daemons of a fleet
 * do not ask returning control daemons at the same moments.
 */
final class RetryDelay {

	private static final long INITIAL_MILLISECONDS = 20;

	/**
	 * Longest delay in milliseconds. Equal to the interval of heartbeats, so a fleet
	 * without a leader asks about as often as one with a leader, and a daemon finds a new
	 * leader long before its lease of 2,500 ms ends.
	 */
	static final long MAXIMUM_MILLISECONDS = 200;

	/**
	 * Longest delay in milliseconds of a daemon that has no view yet and therefore serves
	 * nobody.
	 */
	static final long MAXIMUM_WITHOUT_VIEW_MILLISECONDS = 40;

	private static final int MAXIMUM_DOUBLINGS = 4;

	private RetryDelay() {
	}

	/**
	 * Returns the delay after a failure.
	 * @param previousFailures number of failures in a row before this one
	 * @param limit longest delay in milliseconds
	 * @param random source of the jitter
	 * @return the delay in milliseconds, between half of the doubled delay and all of it
	 */
	static long milliseconds(int previousFailures, long limit, RandomGenerator random) {
		long maximum = Math.min(limit, INITIAL_MILLISECONDS << Math.min(previousFailures, MAXIMUM_DOUBLINGS));
		return random.nextLong(maximum / 2, maximum + 1);
	}

}
