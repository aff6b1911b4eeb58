package org.magnolialead.ctl.experiment;

import org.magnolialead.engine.owner.Dispatch;

/**
 * What one daemon may use of a group's members.
 */
interface SlotShare {

	/**
	 * Returns the number of statements that the daemon may have at a member now.
	 * @param member name of the member
	 * @param now present time in nanoseconds
	 * @return the number; 0 while the daemon has used up its slot time
	 */
	int availableSlots(String member, long now);

	/**
	 * Returns the greatest number of open connections to a member.
	 * @return the number
	 */
	int connections();

	/**
	 * Accounts for a statement that has ended.
	 * @param dispatch the statement
	 * @param serviceNanoseconds slot time that it used at the member
	 */
	void recordUsage(Dispatch<Request> dispatch, long serviceNanoseconds);

	/**
	 * All slots and half of the connections, as the owner of a group has them.
	 *
	 * @param connections greatest number of open connections to a member
	 */
	record Full(int connections) implements SlotShare {

		Full(Deployment deployment) {
			this(deployment.connectionLimit() / 2);
		}

		@Override
		public int availableSlots(String member, long now) {
			return Deployment.SLOTS_PER_MEMBER;
		}

		@Override
		public void recordUsage(Dispatch<Request> dispatch, long serviceNanoseconds) {
			// All slot time belongs to the owner.
		}

	}

}
