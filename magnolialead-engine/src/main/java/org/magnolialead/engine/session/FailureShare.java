package org.magnolialead.engine.session;

import java.util.concurrent.TimeUnit;

/**
 * Smoothed share of its work that a member fails, by which reads prefer other members. A
 * member that fails its work answers quickly and would otherwise attract more of it. The
 * share fades with time, so that a member to which others are preferred is tried again
 * with a few reads and regains its work once it has recovered. Not thread-safe.
 */
public final class FailureShare {

	/** Weight of the latest result. */
	private static final double LATEST_WEIGHT = 0.125;

	/** Time after which the share has fallen to a half without further results. */
	private static final long HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	/** Share below which a member counts as one that does not fail. */
	private static final double MINIMUM_SHARE = 0.01;

	/** Time that a failure costs a client: an attempt, a pause and another attempt. */
	private static final long FAILURE_COST_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

	private double share;

	private long updatedAt;

	/**
	 * Creates a share of a member that has not failed.
	 * @param now present time in nanoseconds
	 */
	public FailureShare(long now) {
		this.updatedAt = now;
	}

	/**
	 * Records the result of a piece of work.
	 * @param failed whether the member failed it
	 * @param now present time in nanoseconds
	 */
	public void record(boolean failed, long now) {
		this.share = (1 - LATEST_WEIGHT) * value(now) + (failed ? LATEST_WEIGHT : 0);
		this.updatedAt = now;
	}

	/**
	 * Returns the share of failed work.
	 * @param now present time in nanoseconds
	 * @return a number from 0 to 1
	 */
	public double value(long now) {
		double halfLives = (double) (now - this.updatedAt) / HALF_LIFE_NANOSECONDS;
		double faded = this.share * Math.pow(2, -halfLives);
		return (faded < MINIMUM_SHARE) ? 0 : faded;
	}

	/**
	 * Returns the time that a read at the member is expected to take, including what
	 * follows if it fails.
	 * @param serviceNanoseconds smoothed service time of the member in nanoseconds
	 * @param now present time in nanoseconds
	 * @return the time in nanoseconds
	 */
	public long expectedNanoseconds(long serviceNanoseconds, long now) {
		return serviceNanoseconds + (long) (value(now) * FAILURE_COST_NANOSECONDS);
	}

}
