package org.magnolialead.daemon.filter;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Holds the deadline of this daemon's lease. Thread-safe.
 */
public final class LeaseGate {

	private final AtomicLong deadline;

	/**
	 * Creates a gate without a lease.
	 * @param now current time of the monotonic clock in nanoseconds
	 */
	public LeaseGate(long now) {
		this.deadline = new AtomicLong(now);
	}

	/**
	 * Tells whether the lease is held.
	 * @param now current time of the monotonic clock in nanoseconds
	 * @return {@code true} before the deadline
	 */
	public boolean isHeld(long now) {
		return this.deadline.get() - now > 0;
	}

	/**
	 * Extends the lease. A deadline before the current one is ignored, because heartbeat
	 * answers may arrive out of order.
	 * @param newDeadline time of the monotonic clock in nanoseconds at which the lease
	 * ends
	 */
	public void renew(long newDeadline) {
		this.deadline.accumulateAndGet(newDeadline,
				(current, candidate) -> (candidate - current > 0) ? candidate : current);
	}

	/**
	 * Returns the deadline of the lease.
	 * @return time of the monotonic clock in nanoseconds
	 */
	public long deadline() {
		return this.deadline.get();
	}

}
