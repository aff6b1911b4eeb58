package org.magnolialead.engine.owner;

import java.util.List;
import java.util.Set;

import org.magnolialead.api.Rank;

/**
 * Waiting items of one rank that the same set of members may serve, and the recordSlotTime of
 * slot time that the rank is credit on these members. Keeping items by member set finds
 * work for a free slot without a scan of the items that it cannot serve.
 *
 * @param <W> type of the caller's work
 */
final class RankQueue<W> {

	private final Rank rank;

	private final Set<String> members;

	private final OrderedQueue<W> entries = new OrderedQueue<>();

	private double creditNanoseconds;

	private boolean belowFloor;

	private String leastPreferred = "";

	RankQueue(Rank rank, Set<String> members) {
		this.rank = rank;
		this.members = members;
	}

	Rank rank() {
		return this.rank;
	}

	Set<String> members() {
		return this.members;
	}

	OrderedQueue<W> entries() {
		return this.entries;
	}

	long headOrder() {
		return this.entries.first().order();
	}

	/**
	 * Adds an item.
	 * @param entry the item
	 * @param eligible members of this rankQueue, best first
	 */
	void add(QueueEntry<W> entry, List<String> eligible) {
		if (this.entries.isEmpty()) {
			// Time during which nothing waited is not credit; saved-up time would let a
			// burst of a lower rank overtake urgent work.
			this.creditNanoseconds = Math.min(0, this.creditNanoseconds);
		}
		this.leastPreferred = (eligible.size() > 1) ? eligible.get(eligible.size() - 1) : "";
		this.entries.add(entry);
		entry.rankQueue(this);
	}

	/**
	 * Returns the member that serves this lane only when no more urgent work waits for
	 * it. Reads would otherwise spend their floor on the primary, at the cost of writes.
	 * @return the name, or an empty string if the lane has one member
	 */
	String leastPreferred() {
		return this.leastPreferred;
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
	 * urgent work; long statements go when half of the recordSlotTime is full.
	 * @param serviceNanoseconds expected service time of a statement
	 * @param floor share that this lane's rank keeps
	 * @param limitNanoseconds bound of the recordSlotTime
	 * @return whether enough time is credit
	 */
	boolean hasCredit(double serviceNanoseconds, double floor, double limitNanoseconds) {
		double needed = Math.min(serviceNanoseconds, floor * limitNanoseconds / 2);
		return this.creditNanoseconds > 0 && this.creditNanoseconds >= needed;
	}

	/**
	 * Accounts for slot time of a member of this rankQueue. Time that the lane's rank uses in
	 * its order, when no more urgent work waits, settles what is credit but leaves no debt.
	 * @param use the slot time
	 * @param floor share that this lane's rank keeps
	 * @param limitNanoseconds bound of the recordSlotTime in both directions, which makes the
	 * share hold over a sliding window
	 */
	void recordSlotTime(SlotUse use, double floor, double limitNanoseconds) {
		double credit = this.creditNanoseconds + floor * use.nanoseconds();
		if (use.rank() == this.rank) {
			double reduced = credit - use.nanoseconds();
			credit = use.overtaking() ? reduced : Math.max(Math.min(credit, 0), reduced);
		}
		double limit = floor * limitNanoseconds;
		this.creditNanoseconds = Math.max(-limit, Math.min(limit, credit));
	}

	/**
	 * Slot time of a member.
	 *
	 * @param nanoseconds slot time; negative to correct an earlier estimate
	 * @param rank rank that uses the slot
	 * @param overtaking whether it went before more urgent work
	 */
	record SlotUse(long nanoseconds, Rank rank, boolean overtaking) {
	}

}
