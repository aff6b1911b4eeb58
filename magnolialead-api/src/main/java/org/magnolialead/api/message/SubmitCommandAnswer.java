package org.magnolialead.api.message;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.command.CommandResult;

/**
 * Answer to a submitted command.
 *
 * @param result result if the command was committed and applied, otherwise {@code null}
 * @param error {@link ErrorCode#NOT_LEADER} if the command was not appended,
 * {@link ErrorCode#COMMAND_UNKNOWN} if it may still be committed, or {@code null}
 * @param leaderAddress peer address of the leader if known, otherwise an empty string
 */
public record SubmitCommandAnswer(CommandResult result, ErrorCode error, String leaderAddress) {
}
