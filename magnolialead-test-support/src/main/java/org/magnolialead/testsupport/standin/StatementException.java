package org.magnolialead.testsupport.standin;

/**
 * Thrown if the stand-in cannot execute a statement; the response has status 422.
 */
class StatementException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	StatementException(String message) {
		super(message);
	}

}
