package org.magnolialead.engine.session;

import java.util.Arrays;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * Windows of the times that statements of one priority take at one member, as seen by one
 * daemon, compared with what is usual there. Not thread-safe.
 */
final class StatementTimeWindow {

	/** Samples below which a window says nothing about the member. */
	static final int MINIMUM_SAMPLES = 16;

	/** Bounds the memory of a window; further samples of it are not needed. */
	private static final int MAXIMUM_SAMPLES = 64;

	/** Least duration of a window, so that a short burst fills only one or two. */
	static final long MINIMUM_WINDOW_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(250);

	/** Age at which an incomplete window is discarded, because its samples are old. */
	static final long MAXIMUM_WINDOW_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

	/** Weight of a faster window in the usual time. */
	private static final double FASTER_WEIGHT = 0.25;

	/**
	 * Weight of a slower window in the usual time. It is small, so that a queue of some
	 * seconds does not become usual, and not zero, so that a lasting change does.
	 */
	private static final double SLOWER_WEIGHT = 1.0 / 32;

	private final long[] samples = new long[MAXIMUM_SAMPLES];

	private int sampleCount;

	private long windowStartedAt;

	private double usualNanoseconds;

	/**
	 * Records the time of an answered statement.
	 * @param nanoseconds time from the statement to its answer in nanoseconds
	 * @param now present time in nanoseconds
	 * @return the median time of the window that ends with it as a multiple of the usual
	 * time; empty if no window ends or no time is usual yet
	 */
	OptionalDouble answered(long nanoseconds, long now) {
		if (this.sampleCount == 0 || now - this.windowStartedAt > MAXIMUM_WINDOW_NANOSECONDS) {
			this.sampleCount = 0;
			this.windowStartedAt = now;
		}
		if (this.sampleCount < MAXIMUM_SAMPLES) {
			this.samples[this.sampleCount] = nanoseconds;
			this.sampleCount++;
		}
		if (this.sampleCount < MINIMUM_SAMPLES || now - this.windowStartedAt < MINIMUM_WINDOW_NANOSECONDS) {
			return OptionalDouble.empty();
		}
		Arrays.sort(this.samples, 0, this.sampleCount);
		double median = Math.max(1, this.samples[this.sampleCount / 2]);
		this.sampleCount = 0;
		if (this.usualNanoseconds == 0) {
			this.usualNanoseconds = median;
			return OptionalDouble.empty();
		}
		double slowness = median / this.usualNanoseconds;
		this.usualNanoseconds += ((slowness < 1) ? FASTER_WEIGHT : SLOWER_WEIGHT) * (median - this.usualNanoseconds);
		return OptionalDouble.of(slowness);
	}

}
