package org.magnolialead.daemon.entry;

import java.util.concurrent.CompletableFuture;

import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;

/**
 * Sends commands and queries to the control leader.
 */
public interface CommandSubmitter {

	/**
	 * Submits a command. It may be appended more than once if answers are lost, so it
	 * must be guarded against that by its own preconditions.
	 * @param command the command
	 * @param deadline time of the monotonic clock in nanoseconds after which no further
	 * attempt is made
	 * @return the result; fails with a {@link org.magnolialead.api.MagnolialeadException}
	 * of code {@code UNREACHABLE} if the command surely was not appended, or
	 * {@code COMMAND_UNKNOWN}
	 */
	CompletableFuture<CommandResult> submit(ControlCommand command, long deadline);

	/**
	 * Sends a query to the control leader, once.
	 * @param query message of the peer protocol that changes nothing
	 * @param deadline time of the monotonic clock in nanoseconds at which waiting ends
	 * @return the answer
	 */
	CompletableFuture<Object> query(Object query, long deadline);

}
