package org.magnolialead.engine.owner;

import java.util.List;

/**
 * Selects the database members that may serve a work item.
 */
@FunctionalInterface
public interface MemberSelector {

	/**
	 * Returns the members that may serve the item now.
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return names of the members, most preferred first; empty if none may serve it at
	 * present
	 */
	List<String> eligible(long now);

}
