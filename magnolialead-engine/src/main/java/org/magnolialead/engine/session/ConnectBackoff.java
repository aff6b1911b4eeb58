package org.magnolialead.engine.session;

/**
 * Exponential backoff of connection attempts to one member. Limits the attempts while the
 * member is down or its connection limit is reached. Additional connections are delayed
 * longer than the first one, so that each daemon of a starting fleet gets one connection
 * before any opens a second. Not thread-safe.
 */
public final class ConnectBackoff {

	/**
	 * Delay after the first failed attempt, in nanoseconds; doubles with each further
	 * failure.
	 */
	static final long FIRST_DELAY_NANOSECONDS = 50_000_000L;

	private static final int MAXIMUM_DOUBLINGS = 2;

	/** Delay of a first connection after the member refused one, in nanoseconds. */
	static final long REFUSED_DELAY_NANOSECONDS = 100_000_000L;

	/**
	 * Delay of any other connection after the member refused one, in nanoseconds. After a
	 * loss of power, a member keeps the former connections for seconds, and further
	 * attempts of the holders would only be refused.
	 */
	static final long ADDITIONAL_REFUSED_DELAY_NANOSECONDS = 500_000_000L;

	/**
	 * Time after startup during which no additional connections are opened, in
	 * nanoseconds.
	 */
	static final long STARTUP_DELAY_NANOSECONDS = 1_000_000_000L;

	private int consecutiveFailures;

	private long nextFirstAt;

	private long nextHeldAt;

	private long nextAdditionalAt;

	/**
	 * Creates a backoff that permits a first connection immediately.
	 * @param now present time in nanoseconds
	 */
	public ConnectBackoff(long now) {
		this.nextFirstAt = now;
		this.nextHeldAt = now;
		this.nextAdditionalAt = now + STARTUP_DELAY_NANOSECONDS;
	}

	/**
	 * Tells whether a connection may be opened.
	 * @param purpose reason for which it is opened
	 * @param now present time in nanoseconds
	 * @return {@code true} if the delay is over
	 */
	public boolean permits(ConnectionPurpose purpose, long now) {
		long nextAt = switch (purpose) {
			case FIRST -> this.nextFirstAt;
			case HELD -> this.nextHeldAt;
			case ADDITIONAL -> this.nextAdditionalAt;
		};
		return now - nextAt >= 0;
	}

	/**
	 * Tells whether no attempt has failed since the last successful one.
	 * @return {@code true} if there is no failure
	 */
	public boolean hasNoFailure() {
		return this.consecutiveFailures == 0;
	}

	/**
	 * Records that a connection was opened.
	 */
	public void opened() {
		this.consecutiveFailures = 0;
	}

	/**
	 * Records that the member responded but refused the connection.
	 * @param now present time in nanoseconds
	 */
	public void refused(long now) {
		this.nextFirstAt = now + REFUSED_DELAY_NANOSECONDS;
		this.nextHeldAt = now + ADDITIONAL_REFUSED_DELAY_NANOSECONDS;
		this.nextAdditionalAt = this.nextHeldAt;
	}

	/**
	 * Records that a connection attempt failed.
	 * @param otherPath whether another path should be tried without a delay
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
		this.nextHeldAt = this.nextFirstAt;
		this.nextAdditionalAt = this.nextFirstAt;
	}

	/**
	 * Permits a first connection immediately, because an open connection has proved
	 * unusable.
	 * @param now present time in nanoseconds
	 */
	public void permitNow(long now) {
		this.nextFirstAt = now;
	}

}
