package org.magnolialead.engine.session;

import java.util.Objects;

/**
 * Statement that a session prepared. Clients choose colliding names, so connections know
 * it by a name that is the same for equal statements of all sessions.
 *
 * @param writes whether it writes
 * @param shape what the client prepared
 * @param sharedName name on member connections
 */
public record PreparedStatement(boolean writes, String shape, String sharedName) {

	public PreparedStatement {
		Objects.requireNonNull(shape, "shape must not be null");
		Objects.requireNonNull(sharedName, "sharedName must not be null");
	}
}
