package org.magnolialead.daemon.control;

import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;

/**
 * State that a {@link CommandLog} keeps equal on all control members. Called by one
 * thread at a time.
 */
public interface ReplicatedStateMachine {

	/**
	 * Applies a committed command.
	 * @param command the command
	 * @return the result, equal on all members
	 */
	CommandResult apply(ControlCommand command);

	/**
	 * Encodes the state.
	 * @return the snapshot
	 */
	byte[] snapshot();

	/**
	 * Replaces the state by a snapshot.
	 * @param snapshot the snapshot
	 */
	void restore(byte[] snapshot);

}
