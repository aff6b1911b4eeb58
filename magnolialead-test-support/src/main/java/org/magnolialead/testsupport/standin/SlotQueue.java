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

	private final EventExecutor loop;

	private final int slots;

	private final Queue<Work> waiting = new ArrayDeque<>();

	private int running;

	private int mostRunning;

	private int mostWaiting;

	SlotQueue(EventExecutor loop, int slots) {
		this.loop = loop;
		this.slots = slots;
	}

	/**
	 * Runs work at the end of its service time in a slot.
	 * @param serviceMilliseconds supplies the service time when the slot is taken
	 * @param work the work
	 */
	void submit(LongSupplier serviceMilliseconds, Runnable work) {
		this.waiting.add(new Work(serviceMilliseconds, work));
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
		while (this.running < this.slots && !this.waiting.isEmpty()) {
			Work work = this.waiting.remove();
			this.running++;
			this.mostRunning = Math.max(this.mostRunning, this.running);
			this.loop.schedule(() -> finish(work), work.serviceMilliseconds().getAsLong(), TimeUnit.MILLISECONDS);
		}
	}

	private void finish(Work work) {
		this.running--;
		try {
			work.task().run();
		}
		finally {
			startNext();
		}
	}

	private record Work(LongSupplier serviceMilliseconds, Runnable task) {
	}

}
