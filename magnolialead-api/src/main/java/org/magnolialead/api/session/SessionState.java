package org.magnolialead.api.session;

/**
 * State of a session between statements.
 */
public enum SessionState {

	/** No transaction is open. */
	IDLE,
	/** A transaction is open. */
	TRANSACTION,
	/**
	 * The open transaction has failed; only commit or rollback, which end it, are
	 * permitted.
	 */
	FAILED_TRANSACTION

}
