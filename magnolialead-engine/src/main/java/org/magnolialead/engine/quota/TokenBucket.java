package org.magnolialead.engine.quota;

import org.magnolialead.api.RateLimit;

/**
 * Token bucket of one client account at the control leader. Not thread-safe.
 */
final class TokenBucket {

	static final double NANOSECONDS_PER_SECOND = 1e9;

	/**
	 * Period for which grants are remembered at least. Daemons report unused tokens
	 * within 1 s of their request.
	 */
	private static final long HISTORY_NANOSECONDS = 2_000_000_000L;

	/** Longest time for which a daemon is told to reject operations. */
	private static final long MAXIMUM_RETRY_NANOSECONDS = 1_000_000_000L;

	/**
	 * Longest delay added so that the daemons whose requests were refused do not all ask
	 * for the same token.
	 */
	private static final long MAXIMUM_SPACING_NANOSECONDS = 250_000_000L;

	/** Compensates rounding of the level. */
	private static final double EPSILON = 1e-9;

	private RateLimit limit;

	private double level;

	private double withheldPerSecond;

	private long updatedAt;

	private long nextRetryAt;

	private long periodStart;

	private double granted;

	private double grantedBefore;

	private double peak;

	private double peakBefore;

	/**
	 * Creates a bucket.
	 * @param limit the limit
	 * @param level number of tokens at the start
	 * @param now current time of the monotonic clock in nanoseconds
	 */
	TokenBucket(RateLimit limit, double level, long now) {
		this.limit = limit;
		this.level = Math.min(level, capacity());
		this.updatedAt = now;
		this.nextRetryAt = now;
		this.periodStart = now;
		this.peak = this.level;
	}

	// With a capacity below 1 no operation would ever be permitted.
	double capacity() {
		return (this.limit.operationsPerSecond() > 0) ? Math.max(1, this.limit.burst()) : this.limit.burst();
	}

	double level(long now) {
		refill(now);
		return this.level;
	}

	/**
	 * Applies a limit from now on. The level is capped at the new burst.
	 * @param changed the limit
	 * @param now current time of the monotonic clock in nanoseconds
	 */
	void changeLimit(RateLimit changed, long now) {
		if (!changed.equals(this.limit)) {
			refill(now);
			this.limit = changed;
			this.level = Math.min(this.level, capacity());
		}
	}

	/**
	 * Sets the part of the rate that is not granted, because daemons that cannot be heard
	 * may use it.
	 * @param perSecond tokens per second
	 * @param now current time of the monotonic clock in nanoseconds
	 */
	void withhold(double perSecond, long now) {
		refill(now);
		this.withheldPerSecond = perSecond;
	}

	/**
	 * Takes tokens.
	 * @param wanted number of tokens that are wanted
	 * @param reserve number of tokens that have to remain
	 * @param now current time of the monotonic clock in nanoseconds
	 * @return the number of tokens that were taken
	 */
	int take(int wanted, double reserve, long now) {
		refill(now);
		int taken = (int) Math.min(wanted, Math.max(0, Math.floor(this.level - reserve + EPSILON)));
		this.level -= taken;
		this.granted += taken;
		return taken;
	}

	/**
	 * Puts tokens back that expired unused. The level becomes what it would be if they
	 * had not been granted: refill that would not have fitted in is not added, so that
	 * returned tokens never raise the number of operations in a window.
	 * @param tokens number of tokens; ignored as far as it exceeds recent grants
	 * @param now current time of the monotonic clock in nanoseconds
	 */
	void giveBack(int tokens, long now) {
		refill(now);
		double known = Math.min(tokens, this.granted + this.grantedBefore);
		double credit = Math.max(0, Math.min(known, capacity() - Math.max(this.peak, this.peakBefore)));
		double fromCurrent = Math.min(known, this.granted);
		this.granted -= fromCurrent;
		this.grantedBefore -= known - fromCurrent;
		this.level += credit;
		this.peak += credit;
		this.peakBefore += credit;
	}

	/**
	 * Returns how long a daemon whose request was refused rejects operations.
	 * @param now current time of the monotonic clock in nanoseconds
	 * @return the time in nanoseconds until the next token that no other refused daemon
	 * was told to ask for, at most 1 s
	 */
	long retryAfter(long now) {
		refill(now);
		double perSecond = this.limit.operationsPerSecond() - this.withheldPerSecond;
		if (perSecond <= 0 || this.limit.operationsPerSecond() / MAXIMUM_RETRY_NANOSECONDS <= 0) {
			return MAXIMUM_RETRY_NANOSECONDS;
		}
		double interval = NANOSECONDS_PER_SECOND / perSecond;
		double next = Math.max(0, 1 - this.level) * interval;
		double spaced = Math.min(this.nextRetryAt - now + interval, MAXIMUM_SPACING_NANOSECONDS);
		long delay = (long) Math.ceil(Math.min(Math.max(next, spaced), MAXIMUM_RETRY_NANOSECONDS));
		this.nextRetryAt = now + delay;
		return delay;
	}

	private void refill(long now) {
		if (now - this.periodStart >= HISTORY_NANOSECONDS) {
			boolean recent = now - this.periodStart < 2 * HISTORY_NANOSECONDS;
			this.grantedBefore = recent ? this.granted : 0;
			this.peakBefore = recent ? this.peak : this.level;
			this.granted = 0;
			this.peak = this.level;
			this.periodStart = now;
		}
		long elapsed = now - this.updatedAt;
		if (elapsed > 0) {
			double perSecond = Math.max(0, this.limit.operationsPerSecond() - this.withheldPerSecond);
			this.level = Math.min(capacity(), this.level + perSecond * elapsed / NANOSECONDS_PER_SECOND);
			this.updatedAt = now;
		}
		this.peak = Math.max(this.peak, this.level);
	}

}
