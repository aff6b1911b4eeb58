package org.magnolialead.api;

import java.util.Objects;

/**
 * Exception with an error code, the step at which the error occurred and the peer that
 * was involved.
 */
public class MagnolialeadException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final ErrorCode code;

	private final Step step;

	private final String peer;

	/**
	 * Creates an exception.
	 * @param code the error code
	 * @param step the step at which the error occurred
	 * @param peer name or address of the peer, or an empty string if none is involved
	 * @param message description of the error
	 */
	public MagnolialeadException(ErrorCode code, Step step, String peer, String message) {
		this(code, step, peer, message, null);
	}

	/**
	 * Creates an exception with a cause.
	 * @param code the error code
	 * @param step the step at which the error occurred
	 * @param peer name or address of the peer, or an empty string if none is involved
	 * @param message description of the error
	 * @param cause the cause, or {@code null}
	 */
	public MagnolialeadException(ErrorCode code, Step step, String peer, String message, Throwable cause) {
		super(message, cause);
		this.code = Objects.requireNonNull(code, "code must not be null");
		this.step = Objects.requireNonNull(step, "step must not be null");
		this.peer = Objects.requireNonNull(peer, "peer must not be null");
	}

	/**
	 * Returns the error code.
	 * @return the code
	 */
	public ErrorCode code() {
		return this.code;
	}

	/**
	 * Returns the step at which the error occurred.
	 * @return the step
	 */
	public Step step() {
		return this.step;
	}

	/**
	 * Returns the peer that was involved.
	 * @return the name or address of the peer, or an empty string
	 */
	public String peer() {
		return this.peer;
	}

	@Override
	public String toString() {
		return "%s %d at %s%s: %s".formatted(this.code, this.code.number(), this.step,
				this.peer.isEmpty() ? "" : " with " + this.peer, getMessage());
	}

}
