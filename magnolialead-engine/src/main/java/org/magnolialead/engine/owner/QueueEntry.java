package org.magnolialead.engine.owner;

/**
 * Work item in a queue of the scheduler.
 *
 * @param <W> type of the caller's work
 */
final class QueueEntry<W> {

	private final WorkItem<W> item;

	private final long order;

	private final long sequence;

	private RankQueue<W> rankQueue;

	QueueEntry(WorkItem<W> item, long order, long sequence) {
		this.item = item;
		this.order = order;
		this.sequence = sequence;
	}

	WorkItem<W> item() {
		return this.item;
	}

	long order() {
		return this.order;
	}

	long sequence() {
		return this.sequence;
	}

	RankQueue<W> rankQueue() {
		return this.rankQueue;
	}

	void rankQueue(RankQueue<W> changed) {
		this.rankQueue = changed;
	}

	boolean precedes(QueueEntry<W> other) {
		long difference = this.order - other.order;
		return (difference != 0) ? difference < 0 : this.sequence < other.sequence;
	}

	static int compareByDeadline(QueueEntry<?> first, QueueEntry<?> second) {
		long difference = first.item.deadline() - second.item.deadline();
		return (difference != 0) ? Long.signum(difference) : Long.compare(first.sequence, second.sequence);
	}

}
