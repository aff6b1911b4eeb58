package org.magnolialead.engine.owner;

import java.util.List;

import org.magnolialead.api.Rank;

/**
 * Order in which waiting work is served.
 */
public enum SchedulingPolicy {

	/**
	 * Strict priority of ranks with floors, earliest deadline first within a rank, with
	 * early refusal.
	 */
	RANK_FLOORS {

		@Override
		long orderOf(WorkItem<?> item) {
			return item.deadline();
		}

		@Override
		boolean refusesEarly() {
			return true;
		}

		@Override
		boolean waitsForPreferred() {
			return true;
		}

		@Override
		int queueLength(int ofRank, int ofAllRanks) {
			return ofRank;
		}

		@Override
		int queueLimit(SchedulerSettings settings) {
			return settings.queueLimit();
		}

		@Override
		<W> RankQueue<W> next(List<RankQueue<W>> candidates) {
			RankQueue<W> best = null;
			for (RankQueue<W> rankQueue : candidates) {
				if (best == null || precedes(rankQueue, best)) {
					best = rankQueue;
				}
			}
			return best;
		}

		private static boolean precedes(RankQueue<?> first, RankQueue<?> second) {
			if (first.overtaking() != second.overtaking()) {
				return first.overtaking();
			}
			if (first.rank() != second.rank()) {
				return first.rank().isMoreUrgentThan(second.rank());
			}
			return first.headOrder() - second.headOrder() < 0;
		}

	},

	/**
	 * First come, first served, regardless of rank; the baseline of experiments.
	 */
	FIRST_COME {

		@Override
		long orderOf(WorkItem<?> item) {
			return item.arrival();
		}

		@Override
		boolean refusesEarly() {
			return false;
		}

		@Override
		boolean waitsForPreferred() {
			return false;
		}

		@Override
		int queueLength(int ofRank, int ofAllRanks) {
			return ofAllRanks;
		}

		@Override
		int queueLimit(SchedulerSettings settings) {
			return settings.queueLimit() * Rank.values().length;
		}

		@Override
		<W> RankQueue<W> next(List<RankQueue<W>> candidates) {
			RankQueue<W> best = null;
			for (RankQueue<W> rankQueue : candidates) {
				if (best == null || rankQueue.headOrder() - best.headOrder() < 0) {
					best = rankQueue;
				}
			}
			return best;
		}

	};

	/**
	 * Returns the value by which items of a rank queue are ordered.
	 * @param item the item
	 * @return a time; the earliest goes first
	 */
	abstract long orderOf(WorkItem<?> item);

	/**
	 * Tells whether work that cannot finish in time is refused on arrival.
	 * @return {@code true} if it is refused
	 */
	abstract boolean refusesEarly();

	/**
	 * Tells whether work waits briefly for a more preferred member while its least
	 * preferred one has a free slot.
	 * @return {@code true} if it waits
	 */
	abstract boolean waitsForPreferred();

	/**
	 * Returns the number of waiting items that counts towards the queue limit.
	 * @param ofRank number of waiting items of the rank of the new item
	 * @param ofAllRanks number of waiting items of all ranks
	 * @return the number
	 */
	abstract int queueLength(int ofRank, int ofAllRanks);

	/**
	 * Returns the number of counted items from which new items are refused while no
	 * eligible slot is idle.
	 * @param settings settings in force
	 * @return the limit
	 */
	abstract int queueLimit(SchedulerSettings settings);

	/**
	 * Selects the rank queue to serve next.
	 * @param <W> type of the caller's work
	 * @param candidates rank queues with work that a free slot may serve
	 * @return the rank queue, or {@code null} if there are no candidates
	 */
	abstract <W> RankQueue<W> next(List<RankQueue<W>> candidates);

}
