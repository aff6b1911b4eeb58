package org.magnolialead.daemon.session;

/**
 * Statement outside a transaction that is being executed. It answers its session once.
 */
interface SingleStatement {

	/**
	 * Starts the execution.
	 */
	void start();

	/**
	 * Cancels the statement because the client has disconnected.
	 */
	void cancel();

}
