package org.magnolialead.daemon.entry;

import java.util.random.RandomGenerator;

/**
 * Computes the delay before a heartbeat or command is retried at the control daemons.
 * Uses exponential backoff with jitter so that the daemons of a fleet do not send their
 * requests to recovering control daemons at the same time.
 */
final class RetryDelay {

	private static final long INITIAL_MILLISECONDS = 20;

	/**
	 * Maximum delay in milliseconds. Equal to the heartbeat interval, so a fleet without
	 * a leader sends about as many requests as one with a leader, and a daemon finds a
	 * new leader long before its lease of 2,500 ms expires.
	 */
	static final long MAXIMUM_MILLISECONDS = 200;

	/**
	 * Maximum delay in milliseconds for a daemon that has no fleet view yet and therefore
	 * cannot serve requests.
	 */
	static final long MAXIMUM_WITHOUT_VIEW_MILLISECONDS = 40;

	private static final int MAXIMUM_DOUBLINGS = 4;

	private RetryDelay() {
	}

	/**
	 * Returns the delay after a failure.
	 * @param previousFailures number of consecutive failures before this one
	 * @param limit maximum delay in milliseconds
	 * @param random source of the jitter
	 * @return the delay in milliseconds, a random value between half of the backoff delay
	 * and the backoff delay
	 */
	static long milliseconds(int previousFailures, long limit, RandomGenerator random) {
		long maximum = Math.min(limit, INITIAL_MILLISECONDS << Math.min(previousFailures, MAXIMUM_DOUBLINGS));
		return random.nextLong(maximum / 2, maximum + 1);
	}

}
