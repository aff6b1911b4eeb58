package org.magnolialead.engine.session;

import java.util.concurrent.TimeUnit;

/**
 * Smoothed time that statements take at one member, as seen by one daemon. Not
 * thread-safe.
 */
final class SmoothedTime {

	/** Reciprocal of the weight of the latest sample. */
	private static final int DIVISOR = 8;

	/**
	 * Multiple of the smoothed time to which a sample is cut, so that one long-running
	 * statement changes it little.
	 */
	private static final double MAXIMUM_SAMPLE = 4;

	/** Time without samples after which an earlier smoothed time has half its weight. */
	private static final double WEIGHT_HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Time without statements after which a member is expected to take half the time, so
	 * that a member that has been avoided is tried again. With 4 s, 40 daemons tried a
	 * slow member so often that 0.4% fewer reads were in time.
	 */
	private static final double EXPECTATION_HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

	/** Expected time at a member that has not answered any statement yet. */
	private static final double UNKNOWN_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(10);

	private double nanoseconds;

	private long usedAt;

	private long answeredAt;

	/**
	 * Records that a statement is sent.
	 * @param now present time in nanoseconds
	 */
	void started(long now) {
		this.usedAt = now;
	}

	/**
	 * Records the time of an answered statement.
	 * @param duration time from the statement to its answer in nanoseconds
	 * @param now present time in nanoseconds
	 */
	void answered(long duration, long now) {
		if (this.nanoseconds == 0) {
			this.nanoseconds = Math.max(1, duration);
		}
		else {
			double earlierWeight = Math.pow(2, -(now - this.answeredAt) / WEIGHT_HALF_LIFE_NANOSECONDS) * (DIVISOR - 1)
					/ DIVISOR;
			double sample = Math.min(duration, MAXIMUM_SAMPLE * this.nanoseconds);
			this.nanoseconds = Math.max(1, earlierWeight * this.nanoseconds + (1 - earlierWeight) * sample);
		}
		this.usedAt = now;
		this.answeredAt = now;
	}

	/**
	 * Returns the smoothed time.
	 * @return the time in nanoseconds, 0 if no statement was answered
	 */
	long nanoseconds() {
		return (long) this.nanoseconds;
	}

	/**
	 * Returns the time that the next statement is expected to take, apart from what is in
	 * flight.
	 * @param now present time in nanoseconds
	 * @return the time in nanoseconds
	 */
	double expectedNanoseconds(long now) {
		if (this.nanoseconds == 0) {
			return UNKNOWN_NANOSECONDS;
		}
		return this.nanoseconds * Math.pow(2, -(now - this.usedAt) / EXPECTATION_HALF_LIFE_NANOSECONDS);
	}

}
