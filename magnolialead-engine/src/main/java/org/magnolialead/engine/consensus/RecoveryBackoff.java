package org.magnolialead.engine.consensus;

import java.util.concurrent.TimeUnit;

/**
 * Exponential backoff of the attempts to use the files of a member again after a failure.
 * Not thread-safe.
 */
public final class RecoveryBackoff {

	/** Delay after the first failure, in nanoseconds; doubles with each further one. */
	static final long FIRST_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final int MAXIMUM_DOUBLINGS = 3;

	/**
	 * Time without a failure after which the delay starts anew, in nanoseconds. A disk
	 * may accept the small writes of a recovery and fail again soon after.
	 */
	static final long RESET_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

	private int consecutiveFailures;

	private long resetAt;

	private long nextAttemptAt;

	/**
	 * Records a failure.
	 * @param now present time in nanoseconds
	 */
	public void failed(long now) {
		if (this.consecutiveFailures > 0 && now - this.resetAt >= 0) {
			this.consecutiveFailures = 0;
		}
		long delay = FIRST_DELAY_NANOSECONDS << Math.min(this.consecutiveFailures, MAXIMUM_DOUBLINGS);
		this.consecutiveFailures++;
		this.nextAttemptAt = now + delay;
		this.resetAt = now + RESET_NANOSECONDS;
	}

	/**
	 * Tells whether the next attempt is due.
	 * @param now present time in nanoseconds
	 * @return {@code true} if the delay is over
	 */
	public boolean permits(long now) {
		return now - this.nextAttemptAt >= 0;
	}

}
