package org.magnolialead.api.session;

/**
 * Error of a statement, as reported by members and returned to clients.
 */
public enum StatementError {

	/** No capacity was available; the statement did not run. */
	OVERLOADED,
	/** The transaction was rolled back; none of its writes are kept. */
	ROLLED_BACK,
	/**
	 * The member has not reached the required log position; the statement did not run.
	 */
	BEHIND,
	/** The member is not the primary; the statement did not run. */
	NOT_PRIMARY,
	/** A different process uses the address; the statement did not run. */
	WRONG_MEMBER,
	/** The connection limit of the member is reached; the statement did not run. */
	TOO_MANY_CONNECTIONS,
	/** The connection does not know the prepared statement; it did not run. */
	NOT_PREPARED,
	/** It is not known whether the statement took effect. */
	UNKNOWN_OUTCOME,
	/** The answer timed out; it is not known whether the statement took effect. */
	TIMED_OUT,
	/** The statement ran and failed. */
	FAILED,
	/** The statement cannot be parsed or is not permitted in this state. */
	MALFORMED,
	/** The key of the client belongs to no client account. */
	NOT_AUTHORIZED,
	/** No database of that name exists. */
	UNKNOWN_DATABASE,
	/** The connection to the member was lost before the answer arrived. */
	CONNECTION_LOST,
	/**
	 * The statement ran, and its rows were dropped because they exceed a limit of this
	 * daemon. Clients get another error, which depends on the statement.
	 */
	RESULT_TOO_LARGE

}
