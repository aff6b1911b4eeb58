package org.magnolialead.engine.owner;

import java.util.Arrays;

/**
 * Estimate of the service time of statements of one rank on one member, from samples of
 * recent statements. It uses order statistics, which ignore single outliers such as a
 * statement on a failing member.
 */
final class ServiceTimeEstimate {

	/**
	 * Estimate before the first sample, in nanoseconds; low, so that no work is refused
	 * before a sample exists.
	 */
	static final long INITIAL_NANOSECONDS = 1_000_000L;

	/**
	 * Time after the latest sample during which the estimate may cause work to be
	 * dropped, in nanoseconds. Without expiry a period of slow statements could lead to
	 * all work being dropped, so that no new sample would correct the estimate.
	 */
	static final long VALIDITY_NANOSECONDS = 1_000_000_000L;

	private static final int SAMPLES = 15;

	private static final int LOW_QUANTILE_DIVISOR = 5;

	/**
	 * Weight of a new median in the exponential moving average. The median of 15
	 * statements varies by 15% from statement to statement; unsmoothed, expected waits
	 * fluctuate around the admission limit.
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
	 * Returns the exponential moving average of the median, which covers about the last
	 * 100 statements.
	 * @return the time in nanoseconds
	 */
	double smoothed() {
		return this.smoothed;
	}

	/**
	 * Returns a low quantile of the service times, which nearly every statement takes at
	 * least.
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return the time in nanoseconds; 0 if there are too few or no recent samples
	 */
	long lowEstimate(long now) {
		boolean valid = this.count >= SAMPLES && now - this.lastAddedAt < VALIDITY_NANOSECONDS;
		return valid ? this.lowQuantile : 0;
	}

}
