package org.magnolialead.engine.quota;

import java.util.ArrayDeque;
import java.util.Deque;

import org.magnolialead.api.RateLimit;

/**
 * Tokens that a daemon holds for one client account, and its demand. Not thread-safe.
 */
final class AccountQuota {

	/** Time for which a token is valid, counted from the request. */
	static final long VALIDITY_NANOSECONDS = 500_000_000L;

	/**
	 * Time after the last answer of the leader for which a daemon grants itself tokens.
	 */
	static final long SELF_GRANTING_NANOSECONDS = 10_000_000_000L;

	/**
	 * Time after the request for which unused tokens are reported. The leader remembers
	 * grants for 2 s.
	 */
	private static final long REPORT_NANOSECONDS = 1_000_000_000L;

	/**
	 * Number of tokens that a daemon may accumulate without the leader, if that is more
	 * than those of 1 s. With a capacity of 1, a daemon with one operation every 500 ms
	 * would use about half of the tokens that it may grant itself.
	 */
	private static final double MINIMUM_SELF_GRANTED_CAPACITY = 2;

	/** Period whose expected demand is requested ahead. */
	private static final double EXPECTED_SECONDS = 0.25;

	/** Time constant of the smoothed demand. */
	private static final double SMOOTHING_SECONDS = 1;

	private static final int MAXIMUM_EXPECTED = 10_000;

	private final String account;

	private final Deque<Batch> batches = new ArrayDeque<>();

	private final Deque<Batch> unreported = new ArrayDeque<>();

	private final GrantHistory history = new GrantHistory();

	private double demandPerSecond;

	private long demandUpdatedAt;

	private RateLimit limit;

	private double fleetPerSecond;

	private boolean refused;

	private long refusedUntil;

	private double selfGrantedPerSecond;

	private double selfGrantedLevel;

	private long selfGrantedAt;

	private long answeredAt;

	private int held;

	AccountQuota(String account, long now) {
		this.account = account;
		this.demandUpdatedAt = now;
		this.answeredAt = now;
	}

	String account() {
		return this.account;
	}

	/**
	 * Records an operation.
	 * @param current limit of the account
	 * @param now current time of the monotonic clock in nanoseconds
	 */
	void arrived(RateLimit current, long now) {
		this.limit = current;
		decayDemand(now);
		this.demandPerSecond += 1 / SMOOTHING_SECONDS;
	}

	private void decayDemand(long now) {
		double elapsed = Math.max(0, now - this.demandUpdatedAt) / TokenBucket.NANOSECONDS_PER_SECOND;
		this.demandPerSecond *= Math.exp(-elapsed / SMOOTHING_SECONDS);
		this.demandUpdatedAt = now;
	}

	/**
	 * Takes a token if there is one.
	 * @param now current time of the monotonic clock in nanoseconds
	 * @return whether there was one
	 */
	boolean take(long now) {
		expire(now);
		Batch first = this.batches.peek();
		if (first != null) {
			first.count--;
			this.held--;
			if (first.count == 0) {
				this.batches.poll();
			}
			return true;
		}
		refillSelfGranted(now);
		if (this.selfGrantedLevel >= 1) {
			this.selfGrantedLevel--;
			return true;
		}
		return false;
	}

	boolean isRefused(long now) {
		this.refused = this.refused && now - this.refusedUntil < 0;
		return this.refused;
	}

	/**
	 * Returns the number of tokens to request for expected operations.
	 * @param now current time of the monotonic clock in nanoseconds
	 * @return the number by which the expected demand exceeds the tokens
	 */
	int expected(long now) {
		return Math.max(0, expectedDemand(now) - this.held);
	}

	/**
	 * Tells whether tokens should be requested ahead, so that operations do not have to
	 * wait.
	 * @param now current time of the monotonic clock in nanoseconds
	 * @return whether fewer tokens are held than are expected to be needed until the
	 * answer
	 */
	boolean runsLow(long now) {
		return !isRefused(now) && this.held * 2 < expectedDemand(now);
	}

	private int expectedDemand(long now) {
		decayDemand(now);
		return (int) Math.min(MAXIMUM_EXPECTED, this.demandPerSecond * EXPECTED_SECONDS);
	}

	/**
	 * Adds granted tokens.
	 * @param tokens the number
	 * @param fleetRate tokens per second granted to all daemons, 0 if not known
	 * @param sentAt time at which they were requested
	 * @param now current time of the monotonic clock in nanoseconds
	 */
	void granted(int tokens, double fleetRate, long sentAt, long now) {
		this.fleetPerSecond = fleetRate;
		this.history.add(tokens, now);
		this.answeredAt = now;
		if (tokens > 0) {
			this.batches.add(new Batch(sentAt, tokens));
			this.held += tokens;
		}
		expire(now);
	}

	void refuse(long until) {
		this.refused = true;
		this.refusedUntil = until;
	}

	private void expire(long now) {
		Batch first = this.batches.peek();
		while (first != null && now - first.requestedAt >= VALIDITY_NANOSECONDS) {
			this.batches.poll();
			this.held -= first.count;
			this.unreported.add(first);
			first = this.batches.peek();
		}
		Batch oldest = this.unreported.peek();
		while (oldest != null && now - oldest.requestedAt >= REPORT_NANOSECONDS) {
			this.unreported.poll();
			oldest = this.unreported.peek();
		}
	}

	boolean hasUnused(long now) {
		expire(now);
		return !this.unreported.isEmpty();
	}

	/**
	 * Takes the number of unused tokens to report.
	 * @param now current time of the monotonic clock in nanoseconds
	 * @return the number
	 */
	int takeUnused(long now) {
		expire(now);
		int unused = this.unreported.stream().mapToInt((batch) -> batch.count).sum();
		this.unreported.clear();
		this.history.add(-unused, now);
		return unused;
	}

	boolean isHolding() {
		return !this.batches.isEmpty();
	}

	long earliestExpiry() {
		return this.batches.peek().requestedAt + VALIDITY_NANOSECONDS;
	}

	/**
	 * Starts to grant tokens without the leader.
	 * @param requestedAt time of the first request without an answer
	 */
	void startSelfGranting(long requestedAt) {
		this.selfGrantedPerSecond = SelfGrantedRate.perSecond(this.limit, this.history.perSecond(requestedAt),
				this.fleetPerSecond);
		this.selfGrantedLevel = 0;
		// The account has got no tokens since the last answer.
		this.selfGrantedAt = this.answeredAt;
		this.refused = false;
	}

	void endSelfGranting() {
		this.selfGrantedPerSecond = 0;
		this.selfGrantedLevel = 0;
	}

	private void refillSelfGranted(long now) {
		if (this.selfGrantedPerSecond > 0 && now - this.selfGrantedAt > 0) {
			double seconds = (now - this.selfGrantedAt) / TokenBucket.NANOSECONDS_PER_SECOND;
			double capacity = Math.max(MINIMUM_SELF_GRANTED_CAPACITY, this.selfGrantedPerSecond);
			this.selfGrantedLevel = Math.min(capacity, this.selfGrantedLevel + this.selfGrantedPerSecond * seconds);
			this.selfGrantedAt = now;
		}
	}

	/**
	 * Discards tokens and history after a suspension of the VM, during which they may
	 * have expired.
	 */
	void discard() {
		this.batches.clear();
		this.unreported.clear();
		this.history.clear();
		this.held = 0;
		endSelfGranting();
	}

	private static final class Batch {

		private final long requestedAt;

		private int count;

		Batch(long requestedAt, int count) {
			this.requestedAt = requestedAt;
			this.count = count;
		}

	}

}
