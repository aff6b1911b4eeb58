package org.magnolialead.daemon.control;

import java.util.function.Supplier;

import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;

/**
 * State machine that a {@link CommandLog} replicates to all control members. Called by
 * one thread at a time.
 */
public interface ReplicatedStateMachine {

	/**
	 * Applies a committed command.
	 * @param command the command
	 * @return the result, which must be the same on all members
	 */
	CommandResult apply(ControlCommand command);

	/**
	 * Captures the current state without encoding it.
	 * @return encoder of the captured state; called on another thread while further
	 * commands are applied
	 */
	Supplier<byte[]> snapshot();

	/**
	 * Replaces the state with a snapshot.
	 * @param snapshot the snapshot
	 */
	void restore(byte[] snapshot);

}
