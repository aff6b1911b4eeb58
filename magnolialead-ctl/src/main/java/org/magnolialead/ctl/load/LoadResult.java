package org.magnolialead.ctl.load;

/**
 * What the load generator knows about a request.
 */
enum LoadResult {

	/** Answered as executed. */
	DONE,
	/** Answered as not executed. */
	NOT_RUN,
	/** Answered as unknown, or not answered. */
	UNKNOWN,
	/** Never sent by the load generator, for want of a connection. */
	NOT_SENT;

	private static final int FIRST_ERROR_STATUS = 400;

	/**
	 * Returns the result of an answer. A database member states no outcome; it executes
	 * nothing when it answers with an error.
	 * @param status status code of the answer
	 * @param outcome outcome header, or {@code null}
	 * @return the result
	 */
	static LoadResult of(int status, String outcome) {
		if (outcome != null) {
			return valueOf(outcome);
		}
		return (status < FIRST_ERROR_STATUS) ? DONE : NOT_RUN;
	}

}
