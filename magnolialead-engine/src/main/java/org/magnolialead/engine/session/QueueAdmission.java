package org.magnolialead.engine.session;

/**
 * Admission control for statements that wait for a connection. A statement that cannot be
 * served before its deadline is refused on arrival. Under overload the queue would
 * otherwise grow until every statement in it misses its deadline.
 */
public final class QueueAdmission {

	/**
	 * Divisor for the part of the time until the deadline that the expected wait may
	 * take.
	 */
	private static final int WAIT_SHARE_DIVISOR = 2;

	/**
	 * Percentage of the time until the deadline after which a queued statement is
	 * refused.
	 */
	private static final int QUEUE_TIMEOUT_PERCENT = 60;

	/**
	 * Percentage that applies while this daemon has no primary or no connection to it. A
	 * client that retries twice then reaches three daemons before its deadline.
	 */
	private static final int UNAVAILABLE_MEMBER_TIMEOUT_PERCENT = 40;

	private static final int PERCENT = 100;

	private QueueAdmission() {
	}

	/**
	 * Returns when a queued statement is refused, which leaves its client time to try
	 * another daemon.
	 * @param now present time in nanoseconds
	 * @param deadline time in nanoseconds by which it must be answered
	 * @return the time in nanoseconds
	 */
	public static long queueTimeoutAt(long now, long deadline) {
		return now + (deadline - now) * QUEUE_TIMEOUT_PERCENT / PERCENT;
	}

	/**
	 * Returns when a statement that waits for an unavailable member is refused. An
	 * immediate refusal would use up the client's retries before a new primary is
	 * promoted or a connection becomes free.
	 * @param now present time in nanoseconds
	 * @param deadline time in nanoseconds by which it must be answered
	 * @return the time in nanoseconds
	 */
	public static long unavailableMemberTimeoutAt(long now, long deadline) {
		return now + (deadline - now) * UNAVAILABLE_MEMBER_TIMEOUT_PERCENT / PERCENT;
	}

	/**
	 * Tells whether a statement should be refused on arrival.
	 * @param ahead number of queued statements that are served before it
	 * @param connections number of connections that serve them
	 * @param serviceNanoseconds smoothed time for which one statement occupies a
	 * connection, in nanoseconds
	 * @param remainingNanoseconds time until the deadline
	 * @return {@code true} if the expected wait exceeds half of the remaining time
	 */
	public static boolean rejects(int ahead, int connections, long serviceNanoseconds, long remainingNanoseconds) {
		return rejects(ahead * serviceNanoseconds, connections, remainingNanoseconds);
	}

	/**
	 * Tells whether a statement should be refused on arrival.
	 * @param workAheadNanoseconds expected service time of the queued statements that are
	 * served before it, in nanoseconds
	 * @param connections number of connections that serve them
	 * @param remainingNanoseconds time until the deadline
	 * @return {@code true} if the expected wait exceeds half of the remaining time
	 */
	public static boolean rejects(long workAheadNanoseconds, int connections, long remainingNanoseconds) {
		return workAheadNanoseconds / Math.max(1, connections) > remainingNanoseconds / WAIT_SHARE_DIVISOR;
	}

	/**
	 * Tells whether a queued statement can no longer be answered before its deadline.
	 * @param serviceNanoseconds expected service time of the statement in nanoseconds
	 * @param remainingNanoseconds time until the deadline
	 * @return {@code true} if the service time exceeds the remaining time
	 */
	public static boolean isTooLate(long serviceNanoseconds, long remainingNanoseconds) {
		return serviceNanoseconds > remainingNanoseconds;
	}

}
