package org.magnolialead.daemon.control;

import java.util.function.Supplier;

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
	 * Takes the present state without encoding it.
	 * @return encodes the state that was taken; called on another thread, while commands
	 * are applied
	 */
	Supplier<byte[]> snapshot();

	/**
	 * Replaces the state by a snapshot.
	 * @param snapshot the snapshot
	 */
	void restore(byte[] snapshot);

}
