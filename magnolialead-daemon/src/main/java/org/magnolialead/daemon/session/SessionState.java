package org.magnolialead.daemon.session;

/**
 * State of a session between statements.
 */
public enum SessionState {

	/** No transaction is open. */
	IDLE,
	/** A transaction is open. */
	TRANSACTION,
	/** The open transaction has failed and can only be ended. */
	FAILED_TRANSACTION

}
