package org.magnolialead.engine.session;

/**
 * Notices that the VM was suspended. The monotonic clock does not count that time, so
 * what is known by its age looks younger than it is; the wall clock does. A step of the
 * wall clock looks the same and costs only that knowledge is asked for again. Not safe
 * for concurrent use.
 */
public final class SuspensionDetector {

	/** Drift of the two clocks that is no suspension, in nanoseconds. */
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
	 * Compares the clocks.
	 * @param monotonic time of the monotonic clock in nanoseconds
	 * @param wallMilliseconds time of the wall clock in milliseconds
	 * @return whether they moved apart since the last call
	 */
	public boolean haveClocksDiverged(long monotonic, long wallMilliseconds) {
		long present = wallMilliseconds * NANOSECONDS_PER_MILLISECOND - monotonic;
		boolean moved = Math.abs(present - this.clockOffset) > TOLERANCE_NANOSECONDS;
		this.clockOffset = present;
		return moved;
	}

}
