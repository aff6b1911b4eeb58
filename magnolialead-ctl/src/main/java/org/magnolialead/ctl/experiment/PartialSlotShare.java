package org.magnolialead.ctl.experiment;

import java.util.HashMap;
import java.util.Map;

import org.magnolialead.engine.owner.Dispatch;

/**
 * Share of slot time and connections of one of several daemons. Slot time is limited by a
 * token bucket for each member, which refills at the rate of the daemon's share; a
 * statement may start while the bucket is not empty.
 */
final class PartialSlotShare implements SlotShare {

	/**
	 * Capacity of a token bucket. Without this limit, a daemon that was idle could start
	 * a burst that delays the statements of other daemons.
	 */
	private static final long BUCKET_CAPACITY_NANOSECONDS = 20 * VirtualClock.NANOSECONDS_PER_MILLISECOND;

	private final Map<String, TokenBucket> buckets = new HashMap<>();

	private double slotShare;

	private int connections;

	PartialSlotShare(double slotShare, int connections) {
		this.slotShare = slotShare;
		this.connections = connections;
	}

	/**
	 * Changes the share.
	 * @param changedShare share of each member's slot time, from 0 to 1
	 * @param changedConnections maximum number of open connections to a member
	 * @param now current time in nanoseconds
	 */
	void change(double changedShare, int changedConnections, long now) {
		this.buckets.values().forEach((bucket) -> bucket.refill(this.slotShare, now));
		this.slotShare = changedShare;
		this.connections = changedConnections;
	}

	@Override
	public int availableSlots(String member, long now) {
		TokenBucket bucket = this.buckets.computeIfAbsent(member, (absent) -> new TokenBucket(now));
		bucket.refill(this.slotShare, now);
		return (bucket.availableNanoseconds > 0) ? this.connections : 0;
	}

	@Override
	public int connections() {
		return this.connections;
	}

	@Override
	public void recordUsage(Dispatch<Request> dispatch, long serviceNanoseconds) {
		this.buckets.get(dispatch.member()).availableNanoseconds -= serviceNanoseconds;
	}

	/** Token bucket of the slot time that the daemon may use at one member. */
	private static final class TokenBucket {

		private double availableNanoseconds = BUCKET_CAPACITY_NANOSECONDS;

		private long refilledAt;

		TokenBucket(long now) {
			this.refilledAt = now;
		}

		void refill(double share, long now) {
			double refilled = share * Deployment.SLOTS_PER_MEMBER * (now - this.refilledAt);
			this.availableNanoseconds = Math.min(BUCKET_CAPACITY_NANOSECONDS, this.availableNanoseconds + refilled);
			this.refilledAt = now;
		}

	}

}
