package org.magnolialead.engine.session;

/**
 * Passive failure detector for the primary of a group, based on regular traffic. Not
 * thread-safe.
 */
public final class PrimaryHealth {

	/**
	 * Time without a response, while a request is pending, after which the primary counts
	 * as failed, in nanoseconds. Several times the response time of the longest statement
	 * if it waits behind a full queue.
	 */
	static final long RESPONSE_TIMEOUT_NANOSECONDS = 600_000_000L;

	/** Consecutive connection failures after which the primary counts as failed. */
	static final int FAILURE_THRESHOLD = 3;

	private boolean responsePending;

	private long pendingSince;

	private int consecutiveFailures;

	/**
	 * Records that a request was sent to the primary.
	 * @param now present time in nanoseconds
	 */
	public void requestSent(long now) {
		if (!this.responsePending) {
			this.responsePending = true;
			this.pendingSince = now;
		}
	}

	/**
	 * Records a response of the primary.
	 */
	public void responseReceived() {
		this.responsePending = false;
		this.consecutiveFailures = 0;
	}

	/**
	 * Records that a connection was refused or reset, or that opening it timed out.
	 */
	public void connectionFailed() {
		this.consecutiveFailures++;
	}

	/**
	 * Tells whether the primary counts as failed.
	 * @param now present time in nanoseconds
	 * @return {@code true} if a response has timed out or too many consecutive
	 * connections have failed
	 */
	public boolean isFailed(long now) {
		return this.consecutiveFailures >= FAILURE_THRESHOLD
				|| (this.responsePending && now - this.pendingSince >= RESPONSE_TIMEOUT_NANOSECONDS);
	}

}
