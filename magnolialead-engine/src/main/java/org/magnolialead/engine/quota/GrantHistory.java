package org.magnolialead.engine.quota;

import java.util.Arrays;

/**
 * Tokens granted in the last 5 s. Not thread-safe.
 */
final class GrantHistory {

	private static final long SLOT_NANOSECONDS = 500_000_000L;

	private static final int SLOTS = 10;

	private static final double WINDOW_SECONDS = 5;

	private final double[] counts = new double[SLOTS];

	private boolean started;

	private long origin;

	private long latestSlot;

	/**
	 * Records granted tokens.
	 * @param tokens the number, negative for tokens that were given back
	 * @param now current time of the monotonic clock in nanoseconds
	 */
	void add(double tokens, long now) {
		advance(now);
		this.counts[Math.floorMod(this.latestSlot, SLOTS)] += tokens;
	}

	/**
	 * Returns the rate of the last 5 s.
	 * @param now current time of the monotonic clock in nanoseconds
	 * @return granted tokens per second
	 */
	double perSecond(long now) {
		advance(now);
		return Math.max(0, Arrays.stream(this.counts).sum()) / WINDOW_SECONDS;
	}

	void clear() {
		Arrays.fill(this.counts, 0);
	}

	private void advance(long now) {
		if (!this.started) {
			this.started = true;
			this.origin = now;
		}
		long slot = Math.floorDiv(now - this.origin, SLOT_NANOSECONDS);
		if (slot - this.latestSlot >= SLOTS) {
			clear();
			this.latestSlot = slot;
		}
		while (this.latestSlot < slot) {
			this.latestSlot++;
			this.counts[Math.floorMod(this.latestSlot, SLOTS)] = 0;
		}
	}

}
