package org.magnolialead.engine.control;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.command.CommandResult;

/**
 * Result of applying a command.
 *
 * @param state state after the command
 * @param result answer to the sender of the command
 */
public record ApplyResult(ControlState state, CommandResult result) {

	static ApplyResult accepted(ControlState state) {
		return new ApplyResult(state, CommandResult.accepted(state.viewVersion()));
	}

	static ApplyResult refused(ControlState state, ErrorCode error, String message) {
		return new ApplyResult(state, CommandResult.refused(error, message, state.viewVersion()));
	}
}
