package org.magnolialead.testsupport.standin;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.util.concurrent.EventExecutor;

/**
 * Execution slots of a member with a FIFO queue for tasks that exceed the slots. Confined
 * to the event loop.
 */
final class SlotQueue {

	/**
	 * Maximum timer delay that is compensated. Timers of the event loop fire 1 ms late,
	 * and several milliseconds late on a busy machine, which would otherwise reduce the
	 * throughput. The limit prevents a process that was frozen from completing its whole
	 * queue at once.
	 */
	private static final long MAXIMUM_COMPENSATED_DELAY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(20);

	private final EventExecutor eventLoop;

	private final int slots;

	private final Queue<QueuedTask> waiting = new ArrayDeque<>();

	private final Queue<Long> slotFreeTimes = new ArrayDeque<>();

	private int peakRunning;

	private int peakWaiting;

	SlotQueue(EventExecutor eventLoop, int slots) {
		this.eventLoop = eventLoop;
		this.slots = slots;
		for (int i = 0; i < slots; i++) {
			this.slotFreeTimes.add(System.nanoTime());
		}
	}

	/**
	 * Waits for a free slot, occupies it for the service time and then runs the task.
	 * @param serviceMilliseconds supplier of the service time in milliseconds, called
	 * when the slot is taken
	 * @param task the task
	 */
	void submit(LongSupplier serviceMilliseconds, Runnable task) {
		this.waiting.add(new QueuedTask(serviceMilliseconds, task, System.nanoTime()));
		this.peakWaiting = Math.max(this.peakWaiting, this.waiting.size() - 1);
		startNext();
	}

	int peakRunning() {
		return this.peakRunning;
	}

	int peakWaiting() {
		return this.peakWaiting;
	}

	int waiting() {
		return this.waiting.size();
	}

	private void startNext() {
		while (!this.slotFreeTimes.isEmpty() && !this.waiting.isEmpty()) {
			QueuedTask queued = this.waiting.remove();
			long now = System.nanoTime();
			long start = latest(latest(queued.arrivedAt(), this.slotFreeTimes.remove()),
					now - MAXIMUM_COMPENSATED_DELAY_NANOSECONDS);
			long end = start + TimeUnit.MILLISECONDS.toNanos(queued.serviceMilliseconds().getAsLong());
			this.peakRunning = Math.max(this.peakRunning, this.slots - this.slotFreeTimes.size());
			this.eventLoop.schedule(() -> finish(queued, end), Math.max(0, end - now), TimeUnit.NANOSECONDS);
		}
	}

	private void finish(QueuedTask queued, long end) {
		this.slotFreeTimes.add(end);
		try {
			queued.task().run();
		}
		finally {
			startNext();
		}
	}

	private static long latest(long first, long second) {
		return (first - second > 0) ? first : second;
	}

	private record QueuedTask(LongSupplier serviceMilliseconds, Runnable task, long arrivedAt) {
	}

}
