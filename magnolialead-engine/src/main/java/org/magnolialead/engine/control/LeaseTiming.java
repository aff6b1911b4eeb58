package org.magnolialead.engine.control;

/**
 * Timing of leases.
 *
 * @param leaseMilliseconds duration of a lease in milliseconds; a daemon counts it from
 * the time at which it sent the heartbeat
 * @param driftPercent maximum difference in speed between the clocks of two VMs in
 * percent
 */
public record LeaseTiming(long leaseMilliseconds, int driftPercent) {

	/**
	 * Default timing. A lease expires after 12 lost heartbeats at intervals of 200 ms.
	 */
	public static final LeaseTiming DEFAULT = new LeaseTiming(2_500, 10);

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

	private static final int PERCENT = 100;

	public LeaseTiming {
		if (leaseMilliseconds < 1 || driftPercent < 0) {
			throw new IllegalArgumentException(
					"leaseMilliseconds must be positive and driftPercent not negative, found %d and %d"
						.formatted(leaseMilliseconds, driftPercent));
		}
	}

	/**
	 * Returns when a lease granted now has expired even on the slowest clock.
	 * @param now present time in nanoseconds
	 * @return the deadline in nanoseconds
	 */
	public long expiryOfLeaseGrantedAt(long now) {
		long length = this.leaseMilliseconds * NANOSECONDS_PER_MILLISECOND;
		return now + length + length / PERCENT * this.driftPercent;
	}

}
