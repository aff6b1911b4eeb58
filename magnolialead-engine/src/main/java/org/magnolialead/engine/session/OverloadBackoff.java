package org.magnolialead.engine.session;

import java.util.Arrays;

/**
 * Decides when a daemon sends further work to a member that has just refused some because
 * its queue is full. Answers a member that all daemons overload, for example a primary
 * that alone is up to date: the more urgent work is, the sooner it is tried again, so
 * that urgent work takes the places that become free although daemons do not coordinate.
 * Lower ranks keep a floor. Not safe for concurrent use.
 */
public final class OverloadBackoff {

	/** Pause of the most urgent work after a refusal, in nanoseconds. */
	static final long BASE_DELAY_NANOSECONDS = 4_000_000L;

	/** Pause of each further rank is this many times that of the rank before. */
	static final int RANK_FACTOR = 4;

	/** Rank from which on the pause does not grow. */
	private static final int LOWEST_RANK = 2;

	/** Time after which a rank may try once whatever was refused, in nanoseconds. */
	static final long MAXIMUM_WAIT_NANOSECONDS = 250_000_000L;

	private final long[] lastSentAt = new long[LOWEST_RANK + 1];

	private boolean refused;

	private long refusedAt;

	/**
	 * Notes that the member refused work because its queue is full.
	 * @param now present time in nanoseconds
	 */
	public void refused(long now) {
		if (!this.refused) {
			Arrays.fill(this.lastSentAt, now);
		}
		this.refused = true;
		this.refusedAt = now;
	}

	/**
	 * Tells whether work may be sent now.
	 * @param priority priority of the work, 0 for the most urgent
	 * @param now present time in nanoseconds
	 * @return {@code false} if it should wait
	 */
	public boolean permits(int priority, long now) {
		int rank = rank(priority);
		return !this.refused || now - this.refusedAt >= nanoseconds(rank)
				|| now - this.lastSentAt[rank] >= MAXIMUM_WAIT_NANOSECONDS;
	}

	/**
	 * Notes that work is sent.
	 * @param priority priority of the work
	 * @param now present time in nanoseconds
	 */
	public void sent(int priority, long now) {
		this.lastSentAt[rank(priority)] = now;
	}

	private static int rank(int priority) {
		return Math.max(0, Math.min(LOWEST_RANK, priority));
	}

	/**
	 * Returns how long work pauses after a refusal.
	 * @param priority priority of the work, 0 for the most urgent
	 * @return the time in nanoseconds
	 */
	public static long nanoseconds(int priority) {
		long delay = BASE_DELAY_NANOSECONDS;
		for (int lowerRank = 0; lowerRank < rank(priority); lowerRank++) {
			delay *= RANK_FACTOR;
		}
		return delay;
	}

}
