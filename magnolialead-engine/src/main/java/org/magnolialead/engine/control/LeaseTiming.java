package org.magnolialead.engine.control;

/**
 * Timing of leases.
 *
 * @param leaseMilliseconds length of a lease, counted by a daemon from the time at which
 * it sent the heartbeat
 * @param driftPercent by how much the clocks of two VMs may differ in speed
 */
public record LeaseTiming(long leaseMilliseconds, int driftPercent) {

	/**
	 * Timing in ordinary use: 12 lost heartbeats of 200 ms end a lease.
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
	 * Returns when a lease granted now has run out by the slowest clock.
	 * @param now present time in nanoseconds
	 * @return the deadline in nanoseconds
	 */
	public long expiryOfLeaseGrantedAt(long now) {
		long length = this.leaseMilliseconds * NANOSECONDS_PER_MILLISECOND;
		return now + length + length / PERCENT * this.driftPercent;
	}

}
