package org.magnolialead.testsupport.standin;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.util.concurrent.EventExecutor;

/**
 * Execution slots of a member. Work beyond the slots waits in order of arrival. Used on
 * the event loop only.
 */
final class SlotQueue {

	/**
	 * Greatest delay of a timer that is made up for. Timers of the event loop are late by
	 * 1 ms and on a busy machine by several, which would otherwise lower the capacity.
	 * The limit keeps a process that was frozen from finishing its queue at once.
	 */
	private static final long MAXIMUM_CREDIT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(20);

	private final EventExecutor loop;

	private final int slots;

	private final Queue<Work> waiting = new ArrayDeque<>();

	private final Queue<Long> freeSlots = new ArrayDeque<>();

	private int mostRunning;

	private int mostWaiting;

	SlotQueue(EventExecutor loop, int slots) {
		this.loop = loop;
		this.slots = slots;
		for (int i = 0; i < slots; i++) {
			this.freeSlots.add(System.nanoTime());
		}
	}

	/**
	 * Runs work at the end of its service time in a slot.
	 * @param serviceMilliseconds supplies the service time when the slot is taken
	 * @param work the work
	 */
	void submit(LongSupplier serviceMilliseconds, Runnable work) {
		this.waiting.add(new Work(serviceMilliseconds, work, System.nanoTime()));
		this.mostWaiting = Math.max(this.mostWaiting, this.waiting.size() - 1);
		startNext();
	}

	int mostRunning() {
		return this.mostRunning;
	}

	int mostWaiting() {
		return this.mostWaiting;
	}

	int waiting() {
		return this.waiting.size();
	}

	private void startNext() {
		while (!this.freeSlots.isEmpty() && !this.waiting.isEmpty()) {
			Work work = this.waiting.remove();
			long now = System.nanoTime();
			long start = latest(latest(work.arrival(), this.freeSlots.remove()), now - MAXIMUM_CREDIT_NANOSECONDS);
			long end = start + TimeUnit.MILLISECONDS.toNanos(work.serviceMilliseconds().getAsLong());
			this.mostRunning = Math.max(this.mostRunning, this.slots - this.freeSlots.size());
			this.loop.schedule(() -> finish(work, end), Math.max(0, end - now), TimeUnit.NANOSECONDS);
		}
	}

	private void finish(Work work, long end) {
		this.freeSlots.add(end);
		try {
			work.task().run();
		}
		finally {
			startNext();
		}
	}

	private static long latest(long first, long second) {
		return (first - second > 0) ? first : second;
	}

	private record Work(LongSupplier serviceMilliseconds, Runnable task, long arrival) {
	}

}
