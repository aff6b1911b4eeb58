package org.magnolialead.engine.session;

import java.util.Arrays;

/**
 * Backoff of work for a member that has refused work because its queue is full. All
 * daemons may overload the same member, for example a primary without up-to-date
 * replicas. More urgent work is retried sooner, so that it takes the queue entries that
 * become free although the daemons do not coordinate. Each rank is permitted a minimum
 * rate, so that lower ranks do not starve. Not thread-safe.
 */
public final class OverloadBackoff {

	/** Delay of the most urgent work after a refusal, in nanoseconds. */
	static final long BASE_DELAY_NANOSECONDS = 4_000_000L;

	/** Factor between the delays of a rank and of the next more urgent one. */
	static final int RANK_FACTOR = 4;

	/** Least urgent rank; lower priorities count as this rank. */
	private static final int LOWEST_RANK = 2;

	/** Time after which a rank may send one item despite refusals, in nanoseconds. */
	static final long MAXIMUM_WAIT_NANOSECONDS = 250_000_000L;

	private final long[] lastSentAt = new long[LOWEST_RANK + 1];

	private boolean refused;

	private long refusedAt;

	/**
	 * Records that the member refused work because its queue is full.
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
	 * @return {@code true} if no backoff applies
	 */
	public boolean permits(int priority, long now) {
		int rank = rank(priority);
		return !this.refused || now - this.refusedAt >= delayNanoseconds(rank)
				|| now - this.lastSentAt[rank] >= MAXIMUM_WAIT_NANOSECONDS;
	}

	/**
	 * Records that work is sent.
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
	 * Returns the delay of work after a refusal.
	 * @param priority priority of the work, 0 for the most urgent
	 * @return the delay in nanoseconds
	 */
	public static long delayNanoseconds(int priority) {
		long delay = BASE_DELAY_NANOSECONDS;
		for (int level = 0; level < rank(priority); level++) {
			delay *= RANK_FACTOR;
		}
		return delay;
	}

}
