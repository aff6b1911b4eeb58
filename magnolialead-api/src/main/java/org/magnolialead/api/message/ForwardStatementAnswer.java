package org.magnolialead.api.message;

import java.util.Objects;

import org.magnolialead.api.LogPosition;
import org.magnolialead.api.session.StatementReply;

/**
 * Answer to a {@link ForwardStatementRequest}.
 *
 * @param reply answer for the client
 * @param committed log position of the commit that the statement made, or {@code null} if
 * it made none
 */
public record ForwardStatementAnswer(StatementReply reply, LogPosition committed) {

	public ForwardStatementAnswer {
		Objects.requireNonNull(reply, "reply must not be null");
	}

}
