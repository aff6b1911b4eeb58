package org.magnolialead.api.command;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.magnolialead.api.ErrorCode;

/**
 * Result of applying a command to the control state.
 *
 * @param error {@code null} if the command was accepted, otherwise why it was refused
 * @param message explanation for operators, or an empty string
 * @param version configuration version or view version after the command
 * @param request state of the non-repeatable request that the command refers to, or
 * {@code null}
 */
public record CommandResult(ErrorCode error, String message, long version, RequestRecord request) {

	public CommandResult {
		Objects.requireNonNull(message, "message must not be null");
	}

	/**
	 * Returns the result of an accepted command.
	 * @param version version after the command
	 * @return the result
	 */
	public static CommandResult accepted(long version) {
		return new CommandResult(null, "", version, null);
	}

	/**
	 * Returns the result of a refused command.
	 * @param error why it was refused
	 * @param message explanation for operators
	 * @param version version of the unchanged state
	 * @return the result
	 */
	public static CommandResult refused(ErrorCode error, String message, long version) {
		return new CommandResult(Objects.requireNonNull(error, "error must not be null"), message, version, null);
	}

	/**
	 * Returns whether the command was accepted.
	 * @return {@code true} if the command was accepted
	 */
	@JsonIgnore
	public boolean isAccepted() {
		return this.error == null;
	}

}
