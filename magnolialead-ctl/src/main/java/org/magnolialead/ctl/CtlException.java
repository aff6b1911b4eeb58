package org.magnolialead.ctl;

/**
 * Failure of a command, with a single-line message for the operator.
 */
public class CtlException extends RuntimeException {

	/**
	 * Exit code of a command that failed.
	 */
	public static final int FAILURE = 1;

	/**
	 * Exit code of a command with wrong arguments.
	 */
	public static final int WRONG_ARGUMENTS = 2;

	private static final long serialVersionUID = 1L;

	private final int exitCode;

	/**
	 * Creates an exception.
	 * @param exitCode exit code of the program
	 * @param message single-line message
	 */
	public CtlException(int exitCode, String message) {
		super(message);
		this.exitCode = exitCode;
	}

	/**
	 * Returns the exit code of the program.
	 * @return the exit code
	 */
	public int exitCode() {
		return this.exitCode;
	}

	/**
	 * Returns the failure of a command with wrong arguments.
	 * @param message single-line message
	 * @return the exception
	 */
	public static CtlException wrongArguments(String message) {
		return new CtlException(WRONG_ARGUMENTS, message);
	}

	/**
	 * Returns the failure of a command.
	 * @param message single-line message
	 * @return the exception
	 */
	public static CtlException failure(String message) {
		return new CtlException(FAILURE, message);
	}

}
