package org.magnolialead.engine.session;

/**
 * Decides on arrival whether a statement can be served before its deadline, so that what
 * cannot be served is refused at once. Answers the load of a flood: without it the queue
 * grows until every statement in it misses its deadline.
 */
public final class QueueAdmission {

	/** Share of the time to the deadline that may be spent waiting: one half. */
	private static final int WAIT_SHARE_DIVISOR = 2;

	/** Share of the time to the deadline after which a waiting statement is refused. */
	private static final int QUEUE_TIMEOUT_PERCENT = 60;

	/**
	 * The same if this daemon has no primary or no connection to it. A client that tries
	 * twice more then reaches three daemons within its time.
	 */
	private static final int UNAVAILABLE_MEMBER_TIMEOUT_PERCENT = 40;

	private static final int PERCENT = 100;

	private QueueAdmission() {
	}

	/**
	 * Returns when a statement that still waits is refused, so that its client can turn
	 * to another daemon in time.
	 * @param now present time in nanoseconds
	 * @param deadline time in nanoseconds by which it must be answered
	 * @return the time in nanoseconds
	 */
	public static long queueTimeoutAt(long now, long deadline) {
		return now + (deadline - now) * QUEUE_TIMEOUT_PERCENT / PERCENT;
	}

	/**
	 * Returns when a statement that waits for a missing member is refused. Refusing it at
	 * once would spend the retries of its client before a successor leads or a connection
	 * becomes free.
	 * @param now present time in nanoseconds
	 * @param deadline time in nanoseconds by which it must be answered
	 * @return the time in nanoseconds
	 */
	public static long unavailableMemberTimeoutAt(long now, long deadline) {
		return now + (deadline - now) * UNAVAILABLE_MEMBER_TIMEOUT_PERCENT / PERCENT;
	}

	/**
	 * Tells whether a statement should be refused.
	 * @param ahead number of waiting statements that are served before it
	 * @param connections number of connections that serve them
	 * @param serviceNanoseconds smoothed time that a connection is busy with one
	 * @param remainingNanoseconds time until the deadline
	 * @return {@code true} if the expected wait takes more than half of that time
	 */
	public static boolean rejects(int ahead, int connections, long serviceNanoseconds, long remainingNanoseconds) {
		long expected = ahead * serviceNanoseconds / Math.max(1, connections);
		return expected > remainingNanoseconds / WAIT_SHARE_DIVISOR;
	}

}
