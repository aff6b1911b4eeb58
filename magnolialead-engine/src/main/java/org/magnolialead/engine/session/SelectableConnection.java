package org.magnolialead.engine.session;

import java.util.Map;

/**
 * Open connection to a member, as far as {@link ConnectionSelection} has to know it.
 */
public interface SelectableConnection {

	/**
	 * Returns the client account for which the connection was opened.
	 * @return name of the account, or an empty string if there is none
	 */
	String account();

	/**
	 * Tells whether the connection can be used.
	 * @return {@code false} while it is in use or once it is closed
	 */
	boolean isFree();

	/**
	 * Tells whether the connection is in use and expected to become free soon.
	 * @return {@code false} if it is free, closed, or in use for longer than usual
	 */
	boolean isFreeSoon();

	/**
	 * Returns when the connection was last used.
	 * @return the time in nanoseconds at which it was released, or opened if it was not
	 * used yet
	 */
	long releasedAt();

	/**
	 * Returns how many steps an alignment with a session takes.
	 * @param sessionVariables variables of the session by name
	 * @return the number of steps
	 */
	int alignmentCost(Map<String, String> sessionVariables);

}
