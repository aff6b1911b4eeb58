package org.magnolialead.engine.owner;

import java.util.List;
import java.util.Set;

import org.magnolialead.api.Rank;

/**
 * Waiting items of one rank that the same set of members may serve, and the account of
 * slot time that the rank is owed on these members. Keeping items by member set finds
 * work for a free slot without a scan of the items that it cannot serve.
 *
 * @param <W> type of the caller's work
 */
final class Lane<W> {

	private final Rank rank;

	private final Set<String> members;

	private final OrderedQueue<W> queue = new OrderedQueue<>();

	private double owedNanoseconds;

	private boolean belowFloor;

	private String lastChoice = "";

	Lane(Rank rank, Set<String> members) {
		this.rank = rank;
		this.members = members;
	}

	Rank rank() {
		return this.rank;
	}

	Set<String> members() {
		return this.members;
	}

	OrderedQueue<W> queue() {
		return this.queue;
	}

	long headOrder() {
		return this.queue.first().order();
	}

	/**
	 * Adds an item.
	 * @param entry the item
	 * @param eligible members of this lane, best first
	 */
	void add(Entry<W> entry, List<String> eligible) {
		if (this.queue.isEmpty()) {
			// Time during which nothing waited is not owed; saved-up time would let a
			// burst of a lower rank overtake urgent work.
			this.owedNanoseconds = Math.min(0, this.owedNanoseconds);
		}
		this.lastChoice = (eligible.size() > 1) ? eligible.get(eligible.size() - 1) : "";
		this.queue.add(entry);
		entry.lane(this);
	}

	/**
	 * Returns the member that serves this lane only when no more urgent work waits for
	 * it. Reads would otherwise spend their floor on the primary, at the cost of writes.
	 * @return the name, or an empty string if the lane has one member
	 */
	String lastChoice() {
		return this.lastChoice;
	}

	boolean belowFloor() {
		return this.belowFloor;
	}

	void belowFloor(boolean changed) {
		this.belowFloor = changed;
	}

	/**
	 * Tells whether this lane may go before more urgent work. It may once it has earned
	 * the time of a whole statement, so that a newly waiting item does not overtake
	 * urgent work; long statements go when half of the account is full.
	 * @param serviceNanoseconds expected service time of a statement
	 * @param floor share that this lane's rank keeps
	 * @param limitNanoseconds bound of the account
	 * @return whether enough time is owed
	 */
	boolean hasEarned(double serviceNanoseconds, double floor, double limitNanoseconds) {
		double needed = Math.min(serviceNanoseconds, floor * limitNanoseconds / 2);
		return this.owedNanoseconds > 0 && this.owedNanoseconds >= needed;
	}

	/**
	 * Accounts for slot time of a member of this lane. Time that the lane's rank uses in
	 * its order, when no more urgent work waits, settles what is owed but leaves no debt.
	 * @param use the slot time
	 * @param floor share that this lane's rank keeps
	 * @param limitNanoseconds bound of the account in both directions, which makes the
	 * share hold over a sliding window
	 */
	void account(Use use, double floor, double limitNanoseconds) {
		double owed = this.owedNanoseconds + floor * use.nanoseconds();
		if (use.rank() == this.rank) {
			double settled = owed - use.nanoseconds();
			owed = use.overtaking() ? settled : Math.max(Math.min(owed, 0), settled);
		}
		double limit = floor * limitNanoseconds;
		this.owedNanoseconds = Math.max(-limit, Math.min(limit, owed));
	}

	/**
	 * Slot time of a member.
	 *
	 * @param nanoseconds slot time; negative to correct an earlier estimate
	 * @param rank rank that uses the slot
	 * @param overtaking whether it went before more urgent work
	 */
	record Use(long nanoseconds, Rank rank, boolean overtaking) {
	}

}
