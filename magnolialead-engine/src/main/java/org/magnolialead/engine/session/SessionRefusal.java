package org.magnolialead.engine.session;

import org.magnolialead.api.session.StatementError;

/**
 * Limit because of which a session does not keep another variable or prepared statement.
 * What the session already keeps is unchanged.
 */
public enum SessionRefusal {

	/** The session has as many prepared statements as permitted. */
	PREPARED_STATEMENTS(StatementError.MALFORMED, "the session has too many prepared statements"),

	/** The prepared statements of the session would be too large. */
	PREPARED_BYTES(StatementError.MALFORMED, "the prepared statements of the session are too large"),

	/** The session has as many variables as permitted. */
	VARIABLES(StatementError.MALFORMED, "the session has too many variables"),

	/** The variables of the session would be too large. */
	VARIABLE_BYTES(StatementError.MALFORMED, "the variables of the session are too large"),

	/** All sessions of the daemon together would keep too much. */
	DAEMON_BYTES(StatementError.OVERLOADED, "the sessions of the daemon keep too much");

	private final StatementError error;

	private final String detail;

	SessionRefusal(StatementError error, String detail) {
		this.error = error;
		this.detail = detail;
	}

	/**
	 * Returns the error for the client.
	 * @return {@code OVERLOADED} if the same statement may succeed at another daemon or
	 * later, {@code MALFORMED} if it cannot succeed in this session
	 */
	public StatementError error() {
		return this.error;
	}

	/**
	 * Returns the explanation for the client.
	 * @return the explanation, without a line break
	 */
	public String detail() {
		return this.detail;
	}

}
