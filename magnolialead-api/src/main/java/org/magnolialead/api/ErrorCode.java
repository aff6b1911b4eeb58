package org.magnolialead.api;

/**
 * Error codes with stable numbers. Each code defines what is known about the execution of
 * the request and the HTTP status that a caller receives.
 */
public enum ErrorCode {

	/** Malformed request. */
	BAD_REQUEST(1001, Outcome.NOT_RUN, 400),
	/** Request exceeds the size limit. */
	REQUEST_TOO_LARGE(1002, Outcome.NOT_RUN, 413),
	/** Request was not received completely before its timeout. */
	REQUEST_TIMEOUT(1003, Outcome.NOT_RUN, 408),
	/** No profile with this name exists. */
	UNKNOWN_PROFILE(1004, Outcome.NOT_RUN, 400),
	/** No database group with this name exists. */
	UNKNOWN_GROUP(1005, Outcome.NOT_RUN, 404),
	/** Session token is forged or damaged. */
	INVALID_SESSION_TOKEN(1006, Outcome.NOT_RUN, 403),
	/** Idempotency key is missing or was used for another request. */
	INVALID_IDEMPOTENCY_KEY(1007, Outcome.NOT_RUN, 422),
	/** No open transaction with this identifier exists. */
	UNKNOWN_TRANSACTION(1008, Outcome.NOT_RUN, 404),
	/** The database rejected the statement. */
	STATEMENT_REJECTED(1009, Outcome.NOT_RUN, 422),
	/** Deadline expired before the request was sent to a database. */
	DEADLINE_EXCEEDED(2001, Outcome.NOT_RUN, 504),
	/** The request cannot be completed before its deadline at the current load. */
	OVERLOADED(2002, Outcome.NOT_RUN, 503),
	/** The daemon holds no valid lease. */
	NO_LEASE(2003, Outcome.NOT_RUN, 503),
	/** The daemon is shutting down. */
	DRAINING(2004, Outcome.NOT_RUN, 503),
	/** The daemon does not own the database group. */
	NOT_OWNER(2005, Outcome.NOT_RUN, 503),
	/** No database member can currently serve the request. */
	NO_MEMBER(2006, Outcome.NOT_RUN, 503),
	/** The peer could not be reached, and the request was not sent. */
	UNREACHABLE(2007, Outcome.NOT_RUN, 503),
	/** A request with the same idempotency key is being executed. */
	IN_PROGRESS(2008, Outcome.NOT_RUN, 409),
	/** The request was sent, but no answer arrived. */
	NO_ANSWER(3001, Outcome.UNKNOWN, 504),
	/** The primary that executed the write was replaced before confirmation. */
	PRIMARY_REPLACED(3002, Outcome.UNKNOWN, 503),
	/** Too few members had stored the write before the deadline. */
	NOT_CONFIRMED(3003, Outcome.UNKNOWN, 504),
	/** The lease ended before the answer could be returned to the caller. */
	LEASE_LOST(3004, Outcome.UNKNOWN, 503),
	/** An earlier attempt with the same idempotency key has an unknown outcome. */
	EARLIER_ATTEMPT_UNKNOWN(3005, Outcome.UNKNOWN, 409),
	/** The control daemon is not the leader. */
	NOT_LEADER(4001, Outcome.NOT_RUN, 503),
	/** A configuration change was made against another version. */
	VERSION_CONFLICT(4002, Outcome.NOT_RUN, 409),
	/** A command was refused because the control state changed in the meantime. */
	STALE_COMMAND(4003, Outcome.NOT_RUN, 409),
	/** The outcome of a command is unknown because leadership was lost. */
	COMMAND_UNKNOWN(4004, Outcome.UNKNOWN, 503),
	/** Settings are invalid. */
	INVALID_SETTINGS(5001, Outcome.NOT_RUN, 500),
	/** The data folder cannot be read or written. */
	STORAGE_FAILURE(5002, Outcome.UNKNOWN, 500),
	/** An internal invariant was violated. */
	INVARIANT_VIOLATED(9001, Outcome.UNKNOWN, 500);

	private final int number;

	private final Outcome outcome;

	private final int httpStatus;

	ErrorCode(int number, Outcome outcome, int httpStatus) {
		this.number = number;
		this.outcome = outcome;
		this.httpStatus = httpStatus;
	}

	/**
	 * Returns the stable number of this code.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns what is known about the execution of the request.
	 * @return the outcome
	 */
	public Outcome outcome() {
		return this.outcome;
	}

	/**
	 * Returns the HTTP status that a caller receives.
	 * @return the status code
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

}
