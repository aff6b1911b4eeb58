package org.magnolialead.api.message;

import org.magnolialead.api.command.ControlCommand;

/**
 * Asks the control leader to commit a command.
 *
 * @param command the command
 */
public record SubmitCommandRequest(ControlCommand command) {
}
