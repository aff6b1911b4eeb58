package org.magnolialead.daemon.entry;

import java.util.concurrent.CompletableFuture;

import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;

/**
 * Sends commands and queries to the control leader.
 */
public interface CommandSubmitter {

	/**
	 * Submits a command. The command may be appended more than once if answers are lost,
	 * so its preconditions must make repeated application harmless.
	 * @param command the command
	 * @param deadline monotonic time in nanoseconds after which no further attempt is
	 * made
	 * @return the result; fails with a {@link org.magnolialead.api.MagnolialeadException}
	 * of code {@code UNREACHABLE} if the command is known not to have been appended, or
	 * {@code COMMAND_UNKNOWN} if it may have been
	 */
	CompletableFuture<CommandResult> submit(ControlCommand command, long deadline);

	/**
	 * Sends a query to the control leader without retries.
	 * @param query read-only message of the peer protocol
	 * @param deadline monotonic time in nanoseconds until which to wait for the answer
	 * @return the answer; fails if there is none by the deadline
	 */
	CompletableFuture<Object> query(Object query, long deadline);

}
