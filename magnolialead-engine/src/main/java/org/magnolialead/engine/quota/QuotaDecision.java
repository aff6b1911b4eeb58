package org.magnolialead.engine.quota;

/**
 * Decision about an operation of an account with a rate limit.
 */
public enum QuotaDecision {

	/** The operation has a token and may run. */
	ADMITTED,
	/** The operation waits for a token. */
	WAITING,
	/** The account has no tokens left on all daemons together. */
	EMPTY,
	/** The control leader did not answer in time. */
	NO_ANSWER;

	/**
	 * Tells whether the operation is rejected.
	 * @return {@code true} if it must not run
	 */
	public boolean isRejection() {
		return this == EMPTY || this == NO_ANSWER;
	}

}
