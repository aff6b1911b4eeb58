package org.magnolialead.ctl.load;

/**
 * Outcome of a request as known to the load generator.
 */
enum LoadResult {

	/** The response states that the request was executed. */
	DONE,
	/** The response states that the request was not executed. */
	NOT_RUN,
	/** The response states that the outcome is unknown, or there is no response. */
	UNKNOWN,
	/** The request was not sent because no connection was available. */
	NOT_SENT;

	private static final int FIRST_ERROR_STATUS = 400;

	/**
	 * Returns the result of a response. Responses of a database member have no outcome
	 * header; a member that responds with an error has not executed the request.
	 * @param status status code of the response
	 * @param outcome value of the outcome header, or {@code null}
	 * @return the result
	 */
	static LoadResult of(int status, String outcome) {
		if (outcome != null) {
			return valueOf(outcome);
		}
		return (status < FIRST_ERROR_STATUS) ? DONE : NOT_RUN;
	}

}
