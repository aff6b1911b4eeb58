package org.magnolialead.engine.owner;

import org.magnolialead.api.GroupView;

/**
 * Number of members whose positions a promotion needs. Tests replace it to show that
 * their checks notice a promotion without a majority.
 */
@FunctionalInterface
interface QuorumRule {

	/** A majority, which includes a holder of every acknowledged write. */
	QuorumRule MAJORITY = GroupView::majority;

	/**
	 * Returns the number of members that must have answered.
	 * @param view view of the group
	 * @return the number
	 */
	int required(GroupView view);

}
