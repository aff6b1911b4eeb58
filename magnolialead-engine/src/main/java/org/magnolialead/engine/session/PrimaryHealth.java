package org.magnolialead.engine.session;

/**
 * Decides from the work that passes anyway whether the primary of a group has failed. Not
 * safe for concurrent use.
 */
public final class PrimaryHealth {

	/**
	 * Silence of a member that was asked something, after which it counts as failed, in
	 * nanoseconds. Several times the longest statement with a full queue before it.
	 */
	static final long RESPONSE_TIMEOUT_NANOSECONDS = 600_000_000L;

	/** Connections refused or reset in a row after which a member counts as failed. */
	static final int FAILURE_THRESHOLD = 3;

	private boolean responsePending;

	private long pendingSince;

	private int consecutiveFailures;

	/**
	 * Notes that something was sent to the primary.
	 * @param now present time in nanoseconds
	 */
	public void requestSent(long now) {
		if (!this.responsePending) {
			this.responsePending = true;
			this.pendingSince = now;
		}
	}

	/**
	 * Notes an answer of the primary.
	 */
	public void responseReceived() {
		this.responsePending = false;
		this.consecutiveFailures = 0;
	}

	/**
	 * Notes that a connection was refused, reset or could not be opened in time.
	 */
	public void connectionFailed() {
		this.consecutiveFailures++;
	}

	/**
	 * Tells whether the primary counts as failed.
	 * @param now present time in nanoseconds
	 * @return {@code true} if it was silent or refused connections for too long
	 */
	public boolean isFailed(long now) {
		return this.consecutiveFailures >= FAILURE_THRESHOLD
				|| (this.responsePending && now - this.pendingSince >= RESPONSE_TIMEOUT_NANOSECONDS);
	}

}
