package org.magnolialead.engine.control;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.command.CommandResult;

/**
 * Result of applying a command.
 *
 * @param state state after the command
 * @param result answer to whoever submitted the command
 */
public record Applied(ControlState state, CommandResult result) {

	static Applied accepted(ControlState state) {
		return new Applied(state, CommandResult.accepted(state.viewVersion()));
	}

	static Applied refused(ControlState state, ErrorCode error, String message) {
		return new Applied(state, CommandResult.refused(error, message, state.viewVersion()));
	}
}
