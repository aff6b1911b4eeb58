package org.magnolialead.engine.session;

/**
 * Detects a suspension of the VM. The monotonic clock stops during a suspension, so
 * cached data appears younger than it is; the wall clock continues. A step of the wall
 * clock is indistinguishable from a suspension; its only effect is that cached data is
 * fetched again. Not thread-safe.
 */
public final class SuspensionDetector {

	/**
	 * Difference between the elapsed times of both clocks up to which no suspension is
	 * assumed, in nanoseconds.
	 */
	private static final long TOLERANCE_NANOSECONDS = 100_000_000L;

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

	private long clockOffset;

	/**
	 * Creates a detector.
	 * @param monotonic time of the monotonic clock in nanoseconds
	 * @param wallMilliseconds time of the wall clock in milliseconds
	 */
	public SuspensionDetector(long monotonic, long wallMilliseconds) {
		this.clockOffset = wallMilliseconds * NANOSECONDS_PER_MILLISECOND - monotonic;
	}

	/**
	 * Compares the time that has passed on both clocks since the last call.
	 * @param monotonic time of the monotonic clock in nanoseconds
	 * @param wallMilliseconds time of the wall clock in milliseconds
	 * @return whether the times differ by more than the tolerance
	 */
	public boolean haveClocksDiverged(long monotonic, long wallMilliseconds) {
		long presentOffset = wallMilliseconds * NANOSECONDS_PER_MILLISECOND - monotonic;
		boolean diverged = Math.abs(presentOffset - this.clockOffset) > TOLERANCE_NANOSECONDS;
		this.clockOffset = presentOffset;
		return diverged;
	}

}
