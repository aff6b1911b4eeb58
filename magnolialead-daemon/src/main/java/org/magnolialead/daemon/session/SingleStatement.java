package org.magnolialead.daemon.session;

import org.magnolialead.engine.session.StatementStage;

/**
 * Statement outside a transaction that is being executed. It answers its session once.
 */
interface SingleStatement {

	/**
	 * Starts the execution.
	 */
	void start();

	/**
	 * Returns the point that the statement has reached.
	 * @return the stage
	 */
	StatementStage stage();

	/**
	 * Cancels the statement because the client has disconnected.
	 */
	void cancel();

}
