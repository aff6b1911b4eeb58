package org.magnolialead.engine.owner;

import org.magnolialead.api.GroupView;

/**
 * Number of members whose positions a promotion requires. Tests replace it to verify that
 * their checks detect a promotion without a majority.
 */
@FunctionalInterface
interface QuorumRule {

	/** A majority, which includes a member with every acknowledged write. */
	QuorumRule MAJORITY = GroupView::majority;

	/**
	 * Returns the number of members that must have responded.
	 * @param view view of the group
	 * @return the number
	 */
	int required(GroupView view);

}
