package org.magnolialead.daemon.session;

/**
 * Error of a statement, as members report it and as clients receive it.
 */
public enum StatementError {

	/** No capacity; the statement did not run. */
	OVERLOADED,
	/** The transaction was rolled back; nothing of it is kept. */
	ROLLED_BACK,
	/** The member lacks the required log position; the statement did not run. */
	BEHIND,
	/** The member is not the primary; the statement did not run. */
	NOT_PRIMARY,
	/** Another process is behind the address; the statement did not run. */
	WRONG_MEMBER,
	/** The member has no connection left; the statement did not run. */
	TOO_MANY_CONNECTIONS,
	/** The connection does not know the prepared statement; it did not run. */
	NOT_PREPARED,
	/** Whether the statement took effect is not known. */
	UNKNOWN_OUTCOME,
	/** No answer in time; whether the statement took effect is not known. */
	TIMED_OUT,
	/** The statement ran and failed. */
	FAILED,
	/** The statement cannot be read or is not possible in this state. */
	MALFORMED,
	/** No database of that name. */
	UNKNOWN_DATABASE,
	/** The connection to the member ended before the answer. */
	CONNECTION_LOST

}
