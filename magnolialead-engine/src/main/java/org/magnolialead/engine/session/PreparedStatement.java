package org.magnolialead.engine.session;

import java.util.Objects;

/**
 * Statement that a session has prepared. Different clients may use the same name for
 * different statements, so member connections use a shared name, which is equal for equal
 * statements of all sessions.
 *
 * @param writes whether the statement writes
 * @param text statement text that the client prepared
 * @param sharedName name of the statement on member connections
 */
public record PreparedStatement(boolean writes, String text, String sharedName) {

	public PreparedStatement {
		Objects.requireNonNull(text, "text must not be null");
		Objects.requireNonNull(sharedName, "sharedName must not be null");
	}
}
