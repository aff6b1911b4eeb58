package org.magnolialead.ctl.experiment;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock that runs scheduled actions in the order of their time. It starts below
 * zero to expose comparisons that ignore the wrap-around of the monotonic clock.
 */
final class VirtualClock {

	static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));

	private long now = -NANOSECONDS_PER_MILLISECOND;

	private long nextSequence;

	long now() {
		return this.now;
	}

	void schedule(long delayNanoseconds, Runnable action) {
		this.events.add(new Event(this.now + delayNanoseconds, this.nextSequence++, action));
	}

	void scheduleRepeatedly(long intervalNanoseconds, Runnable action) {
		schedule(intervalNanoseconds, () -> {
			action.run();
			scheduleRepeatedly(intervalNanoseconds, action);
		});
	}

	void advance(long nanoseconds) {
		long end = this.now + nanoseconds;
		while (!this.events.isEmpty() && this.events.peek().time() - end <= 0) {
			Event event = this.events.poll();
			this.now = event.time();
			event.action().run();
		}
		this.now = end;
	}

	private record Event(long time, long sequence, Runnable action) {
	}

}
