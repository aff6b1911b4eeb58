package org.magnolialead.engine.session;

/**
 * Decides when the next connection to a member may be opened. Answers members that are
 * down, whose limit of connections is reached, and the start of a fleet, in which every
 * daemon should find one connection before any takes a second. Not safe for concurrent
 * use.
 */
public final class ConnectBackoff {

	/**
	 * Wait after a first failed attempt in nanoseconds; doubles with each further one.
	 */
	static final long FIRST_DELAY_NANOSECONDS = 50_000_000L;

	private static final int MAXIMUM_DOUBLINGS = 2;

	/** Wait for a first connection after the member refused one, in nanoseconds. */
	static final long REFUSED_DELAY_NANOSECONDS = 100_000_000L;

	/** Wait for a further connection after the member refused one, in nanoseconds. */
	static final long ADDITIONAL_REFUSED_DELAY_NANOSECONDS = 500_000_000L;

	/** Time after the start without further connections, in nanoseconds. */
	static final long STARTUP_DELAY_NANOSECONDS = 1_000_000_000L;

	private int consecutiveFailures;

	private long nextFirstAt;

	private long nextAdditionalAt;

	/**
	 * Starts a schedule.
	 * @param now present time in nanoseconds
	 */
	public ConnectBackoff(long now) {
		this.nextFirstAt = now;
		this.nextAdditionalAt = now + STARTUP_DELAY_NANOSECONDS;
	}

	/**
	 * Tells whether a connection may be opened.
	 * @param additional whether others are open already
	 * @param now present time in nanoseconds
	 * @return {@code false} if it has to wait
	 */
	public boolean permits(boolean additional, long now) {
		return now - (additional ? this.nextAdditionalAt : this.nextFirstAt) >= 0;
	}

	/**
	 * Tells whether the last attempt succeeded.
	 * @return {@code true} before the first of a series of failures
	 */
	public boolean hasNoFailure() {
		return this.consecutiveFailures == 0;
	}

	/**
	 * Notes that a connection was opened.
	 */
	public void opened() {
		this.consecutiveFailures = 0;
	}

	/**
	 * Notes that the member answered but took no connection.
	 * @param now present time in nanoseconds
	 */
	public void refused(long now) {
		this.nextFirstAt = now + REFUSED_DELAY_NANOSECONDS;
		this.nextAdditionalAt = now + ADDITIONAL_REFUSED_DELAY_NANOSECONDS;
	}

	/**
	 * Notes that no connection was opened.
	 * @param otherPath whether another path should be tried without a wait
	 * @param now present time in nanoseconds
	 */
	public void failed(boolean otherPath, long now) {
		if (otherPath) {
			this.consecutiveFailures = Math.max(1, this.consecutiveFailures);
			this.nextFirstAt = now;
		}
		else {
			int doublings = Math.min(this.consecutiveFailures, MAXIMUM_DOUBLINGS);
			this.consecutiveFailures++;
			this.nextFirstAt = now + (FIRST_DELAY_NANOSECONDS << doublings);
		}
		this.nextAdditionalAt = this.nextFirstAt;
	}

	/**
	 * Permits a first connection at once, because an open one has turned out useless.
	 * @param now present time in nanoseconds
	 */
	public void permitNow(long now) {
		this.nextFirstAt = now;
	}

}
