package org.magnolialead.engine.owner;

import java.util.List;
import java.util.Set;

import org.magnolialead.api.Rank;

/**
 * Queue of the waiting items of one rank that the same set of members may serve, with the
 * credit of slot time that the rank has on these members. Because items are grouped by
 * member set, work for a free slot is found without a scan of items that the member
 * cannot serve.
 *
 * @param <W> type of the caller's work
 */
final class RankQueue<W> {

	private final Rank rank;

	private final Set<String> members;

	private final OrderedQueue<W> entries = new OrderedQueue<>();

	private double creditNanoseconds;

	private boolean overtaking;

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
	 * @param eligible members of this queue, most preferred first
	 */
	void add(QueueEntry<W> entry, List<String> eligible) {
		if (this.entries.isEmpty()) {
			// An empty queue keeps no credit. Accumulated credit would let a burst of a
			// lower rank overtake urgent work.
			this.creditNanoseconds = Math.min(0, this.creditNanoseconds);
		}
		this.leastPreferred = (eligible.size() > 1) ? eligible.get(eligible.size() - 1) : "";
		this.entries.add(entry);
		entry.rankQueue(this);
	}

	/**
	 * Returns the member that serves this queue only if no more urgent work waits for
	 * that member. Reads would otherwise use their floor on the primary and displace
	 * writes.
	 * @return the name, or an empty string if the queue has one member
	 */
	String leastPreferred() {
		return this.leastPreferred;
	}

	/**
	 * Tells whether this queue is to be served before more urgent work, because its rank
	 * has received less than its floor. Set by the scheduler before each selection.
	 * @return {@code true} if it overtakes more urgent work
	 */
	boolean overtaking() {
		return this.overtaking;
	}

	void overtaking(boolean changed) {
		this.overtaking = changed;
	}

	/**
	 * Tells whether this queue may be served before more urgent work. Its credit must
	 * cover a whole statement, so that a newly queued item does not overtake urgent work;
	 * for long statements half of the maximum credit is sufficient.
	 * @param serviceNanoseconds expected service time of a statement, in nanoseconds
	 * @param floor share of slot time from 0 to 1 that this queue's rank keeps
	 * @param windowNanoseconds slot time of the sliding window over which the floor
	 * holds, in nanoseconds
	 * @return {@code true} if the credit is sufficient
	 */
	boolean hasCredit(double serviceNanoseconds, double floor, double windowNanoseconds) {
		double needed = Math.min(serviceNanoseconds, floor * windowNanoseconds / 2);
		return this.creditNanoseconds > 0 && this.creditNanoseconds >= needed;
	}

	/**
	 * Updates the credit with slot time of a member of this queue. Slot time that the
	 * rank of this queue uses in regular order, without overtaking more urgent work,
	 * reduces a credit but causes no debt.
	 * @param use the slot time
	 * @param floor share of slot time from 0 to 1 that this queue's rank keeps
	 * @param windowNanoseconds slot time of the sliding window over which the floor
	 * holds, in nanoseconds; the credit is bounded by the floor's part of it in both
	 * directions
	 */
	void recordSlotTime(SlotUse use, double floor, double windowNanoseconds) {
		double credit = this.creditNanoseconds + floor * use.nanoseconds();
		if (use.rank() == this.rank) {
			double reduced = credit - use.nanoseconds();
			credit = use.overtaking() ? reduced : Math.max(Math.min(credit, 0), reduced);
		}
		double limit = floor * windowNanoseconds;
		this.creditNanoseconds = Math.max(-limit, Math.min(limit, credit));
	}

	/**
	 * Slot time of a member.
	 *
	 * @param nanoseconds slot time; negative to correct an earlier estimate
	 * @param rank rank that uses the slot
	 * @param overtaking whether the statement was started before more urgent work
	 */
	record SlotUse(long nanoseconds, Rank rank, boolean overtaking) {
	}

}
