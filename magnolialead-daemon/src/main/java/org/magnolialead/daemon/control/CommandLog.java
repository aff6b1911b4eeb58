package org.magnolialead.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;

/**
 * Replicated log of control commands as seen by the controllers of a control daemon.
 */
public interface CommandLog {

	/**
	 * Appends a command and completes once it is committed and applied here.
	 * @param command the command
	 * @return the result; fails with a {@link org.magnolialead.api.MagnolialeadException}
	 * of code {@code NOT_LEADER} if the command was not appended, or
	 * {@code COMMAND_UNKNOWN} if leadership was lost after it was appended
	 */
	CompletableFuture<CommandResult> submit(ControlCommand command);

	/**
	 * Tells whether this member is the leader and may act as such at this moment.
	 * @return {@code true} until the authority deadline of the leader
	 */
	boolean hasAuthority();

	/**
	 * Returns when this member last became leader.
	 * @return time of the monotonic clock in nanoseconds; meaningful only while
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
	 * Returns where entry daemons find the voting members.
	 * @return peer addresses, or an empty list if the settings of all daemons list them
	 */
	default List<String> voterAddresses() {
		return List.of();
	}

}
