package org.magnolialead.ctl.experiment;

import org.magnolialead.engine.owner.Dispatch;

/**
 * Share of the slots and connections of a group's members that one daemon may use.
 */
interface SlotShare {

	/**
	 * Returns the number of statements that the daemon may run at a member at a time.
	 * @param member name of the member
	 * @param now current time in nanoseconds
	 * @return the number; 0 while the daemon has used up its slot time
	 */
	int availableSlots(String member, long now);

	/**
	 * Returns the maximum number of open connections to a member.
	 * @return the number
	 */
	int connections();

	/**
	 * Records the slot time of a statement that has ended.
	 * @param dispatch the statement
	 * @param serviceNanoseconds slot time that the statement used at the member, in
	 * nanoseconds
	 */
	void recordUsage(Dispatch<Request> dispatch, long serviceNanoseconds);

	/**
	 * Share of the owner of a group: all slots and half of the connections.
	 *
	 * @param connections maximum number of open connections to a member
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
