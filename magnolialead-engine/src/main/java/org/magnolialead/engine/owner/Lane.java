package org.magnolialead.engine.owner;

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

	void add(Entry<W> entry) {
		if (this.queue.isEmpty()) {
			// Time during which nothing waited is not owed; saved-up time would let a
			// burst
			// of a lower rank overtake urgent work.
			this.owedNanoseconds = Math.min(0, this.owedNanoseconds);
		}
		this.queue.add(entry);
		entry.lane(this);
	}

	boolean belowFloor() {
		return this.belowFloor;
	}

	/**
	 * Decides whether this lane goes before more urgent work. It does so once it has
	 * earned the time of a whole statement, so that a newly waiting item does not
	 * overtake urgent work; long statements go when half of the account is full.
	 * @param serviceNanoseconds expected service time of a statement
	 * @param floor share that this lane's rank keeps
	 * @param limitNanoseconds bound of the account
	 */
	void compareWithFloor(double serviceNanoseconds, double floor, double limitNanoseconds) {
		double needed = Math.min(serviceNanoseconds, floor * limitNanoseconds / 2);
		this.belowFloor = this.owedNanoseconds > 0 && this.owedNanoseconds >= needed;
	}

	/**
	 * Accounts for slot time of a member of this lane.
	 * @param nanoseconds slot time; negative to correct an earlier estimate
	 * @param user rank that uses the slot
	 * @param floor share that this lane's rank keeps
	 * @param limitNanoseconds bound of the account in both directions, which makes the
	 * share hold over a sliding window
	 */
	void account(double nanoseconds, Rank user, double floor, double limitNanoseconds) {
		double change = floor * nanoseconds - ((user == this.rank) ? nanoseconds : 0);
		double limit = floor * limitNanoseconds;
		this.owedNanoseconds = Math.max(-limit, Math.min(limit, this.owedNanoseconds + change));
	}

}
