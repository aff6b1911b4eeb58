package org.magnolialead.engine.owner;

import java.util.Arrays;

/**
 * Service time of statements of one rank at one member, learned from recent statements.
 * Order statistics ignore single outliers, such as a statement that ran into a failing
 * member.
 */
final class ServiceTimeEstimate {

	/** Estimate before the first statement; low, so that nothing is refused untried. */
	static final long INITIAL_NANOSECONDS = 1_000_000L;

	/**
	 * Time after which an estimate no longer lets work be dropped, in nanoseconds.
	 * Otherwise a phase of slow statements could stop all work and never be unlearned.
	 */
	static final long VALIDITY_NANOSECONDS = 1_000_000_000L;

	private static final int SAMPLES = 15;

	private static final int LOW_QUANTILE_DIVISOR = 5;

	/**
	 * Weight of one median in the smoothed one. The median of 15 statements varies by 15%
	 * from statement to statement, which let expected waits jump across the limit of
	 * admission.
	 */
	private static final double SMOOTHING = 1.0 / 64;

	private final long[] samples = new long[SAMPLES];

	private int count;

	private long median = INITIAL_NANOSECONDS;

	private double smoothed = INITIAL_NANOSECONDS;

	private long lowQuantile;

	private long lastAddedAt;

	void add(long nanoseconds, long now) {
		this.samples[this.count % SAMPLES] = Math.max(0, nanoseconds);
		this.count++;
		this.lastAddedAt = now;
		int filled = Math.min(this.count, SAMPLES);
		long[] sorted = Arrays.copyOf(this.samples, filled);
		Arrays.sort(sorted);
		this.median = sorted[filled / 2];
		this.smoothed = (filled < SAMPLES) ? this.median : this.smoothed + SMOOTHING * (this.median - this.smoothed);
		this.lowQuantile = sorted[filled / LOW_QUANTILE_DIVISOR];
	}

	boolean isKnown() {
		return this.count > 0;
	}

	long median() {
		return this.median;
	}

	/**
	 * Returns the median, smoothed over about the last 100 statements.
	 * @return the time in nanoseconds
	 */
	double smoothed() {
		return this.smoothed;
	}

	/**
	 * Returns the time that nearly every statement needs.
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return the time in nanoseconds; 0 if it was not learned recently
	 */
	long lowEstimate(long now) {
		boolean valid = this.count >= SAMPLES && now - this.lastAddedAt < VALIDITY_NANOSECONDS;
		return valid ? this.lowQuantile : 0;
	}

}
