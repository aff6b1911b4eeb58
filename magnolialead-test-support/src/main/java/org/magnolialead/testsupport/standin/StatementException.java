package org.magnolialead.testsupport.standin;

/**
 * A statement that the stand-in cannot execute; answered with status 422.
 */
class StatementException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	StatementException(String message) {
		super(message);
	}

}
