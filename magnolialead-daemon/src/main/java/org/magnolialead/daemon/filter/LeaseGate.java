package org.magnolialead.daemon.filter;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Deadline of the lease of this daemon. May be used by any number of threads.
 */
public final class LeaseGate {

	private final AtomicLong deadline;

	/**
	 * Creates a gate without a lease.
	 * @param now present time of the monotonic clock in nanoseconds
	 */
	public LeaseGate(long now) {
		this.deadline = new AtomicLong(now);
	}

	/**
	 * Tells whether the lease is held.
	 * @param now present time of the monotonic clock in nanoseconds
	 * @return {@code true} before the deadline
	 */
	public boolean isHeld(long now) {
		return this.deadline.get() - now > 0;
	}

	/**
	 * Extends the lease. Answers to heartbeats may arrive out of order, so a deadline
	 * before the present one is ignored.
	 * @param newDeadline new deadline in nanoseconds of the monotonic clock
	 */
	public void renew(long newDeadline) {
		this.deadline.accumulateAndGet(newDeadline,
				(current, candidate) -> (candidate - current > 0) ? candidate : current);
	}

	/**
	 * Returns the deadline.
	 * @return time of the monotonic clock in nanoseconds
	 */
	public long deadline() {
		return this.deadline.get();
	}

}
