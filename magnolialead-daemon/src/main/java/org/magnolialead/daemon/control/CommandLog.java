package org.magnolialead.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;

/**
 * Replicated log of control commands, as used by the controllers of a control daemon.
 */
public interface CommandLog {

	/**
	 * Appends a command. The result is available once the command is committed and
	 * applied on this member.
	 * @param command the command
	 * @return the result; fails with a {@link org.magnolialead.api.MagnolialeadException}
	 * of code {@code NOT_LEADER} if the command was not appended, or
	 * {@code COMMAND_UNKNOWN} if leadership was lost after it was appended
	 */
	CompletableFuture<CommandResult> submit(ControlCommand command);

	/**
	 * Returns whether this member is the leader and currently has the authority to act as
	 * such.
	 * @return {@code true} until the authority deadline of the leader
	 */
	boolean hasAuthority();

	/**
	 * Returns the time at which this member last became leader.
	 * @return monotonic time in nanoseconds; meaningful only while
	 * {@link #hasAuthority()} is {@code true}
	 */
	long leaderSince();

	/**
	 * Returns the peer address of the leader.
	 * @return the address, or empty if no leader is known
	 */
	Optional<String> leaderAddress();

	/**
	 * Returns the consensus term of this member.
	 * @return the term
	 */
	long term();

	/**
	 * Returns the index of the last committed entry.
	 * @return the index, 0 if none
	 */
	long commitIndex();

	/**
	 * Returns the index of the last applied entry.
	 * @return the index, 0 if none
	 */
	long appliedIndex();

	/**
	 * Returns the names of the voting members.
	 * @return the names
	 */
	List<String> voters();

	/**
	 * Returns the addresses at which entry daemons reach the voting members.
	 * @return peer addresses, or an empty list if the settings of all daemons list them
	 */
	default List<String> voterAddresses() {
		return List.of();
	}

}
