package org.magnolialead.engine.session;

import java.util.concurrent.TimeUnit;

/**
 * Smoothed share of its work that a member fails, by which reads prefer other members. A
 * member that fails its work answers quickly and would otherwise attract more of it. The
 * share fades with time, and a member that others are preferred to still receives single
 * reads, so that it regains its work once it has recovered. Not thread-safe.
 */
public final class FailureShare {

	/** Weight of the latest result. */
	private static final double LATEST_WEIGHT = 0.125;

	/** Time after which the share has fallen to a half without further results. */
	private static final long HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	/** Share below which a member counts as one that does not fail. */
	private static final double MINIMUM_SHARE = 0.01;

	/** Time without work after which a failing member receives a single read. */
	private static final long PROBE_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

	/** Time that a failure costs a client: an attempt, a pause and another attempt. */
	private static final long FAILURE_COST_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

	private double share;

	private long updatedAt;

	private long probeAt;

	/**
	 * Creates a share of a member that has not failed.
	 * @param now present time in nanoseconds
	 */
	public FailureShare(long now) {
		this.updatedAt = now;
		this.probeAt = now;
	}

	/**
	 * Records that the member receives work.
	 * @param now present time in nanoseconds
	 */
	public void workSent(long now) {
		this.probeAt = now + PROBE_INTERVAL_NANOSECONDS;
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
	 * @return the time in nanoseconds; 0 if the member fails but is due for a single read
	 */
	public long expectedNanoseconds(long serviceNanoseconds, long now) {
		double failing = value(now);
		boolean probeDue = failing > 0 && now - this.probeAt >= 0;
		return probeDue ? 0 : serviceNanoseconds + (long) (failing * FAILURE_COST_NANOSECONDS);
	}

}
