package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Delayed;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.MonotonicClock;

/**
 * Serial executor and clock whose time a test advances explicitly.
 */
final class ManualLoop extends AbstractExecutorService implements ScheduledExecutorService, MonotonicClock {

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong((Task task) -> task.dueAt).thenComparingLong((task) -> task.sequence));

	private long now = 1_000_000_000_000L;

	private long sequence;

	@Override
	public long nanoseconds() {
		return this.now;
	}

	long milliseconds() {
		return TimeUnit.NANOSECONDS.toMillis(this.now);
	}

	/**
	 * Advances the time and runs the tasks that become due.
	 * @param milliseconds time to advance
	 */
	void advance(long milliseconds) {
		long end = this.now + TimeUnit.MILLISECONDS.toNanos(milliseconds);
		while (!this.tasks.isEmpty() && this.tasks.peek().dueAt <= end) {
			Task task = this.tasks.poll();
			this.now = Math.max(this.now, task.dueAt);
			task.run();
		}
		this.now = end;
	}

	@Override
	public void execute(Runnable command) {
		add(command, 0, 0);
	}

	private Task add(Runnable command, long delay, long period) {
		this.sequence++;
		Task task = new Task(command, this.now + delay, period, this.sequence);
		this.tasks.add(task);
		return task;
	}

	@Override
	public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
		return add(command, unit.toNanos(delay), 0);
	}

	@Override
	public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
		throw new UnsupportedOperationException();
	}

	@Override
	public ScheduledFuture<?> scheduleAtFixedRate(Runnable command, long initialDelay, long period, TimeUnit unit) {
		return add(command, unit.toNanos(initialDelay), unit.toNanos(period));
	}

	@Override
	public ScheduledFuture<?> scheduleWithFixedDelay(Runnable command, long initialDelay, long delay, TimeUnit unit) {
		return add(command, unit.toNanos(initialDelay), unit.toNanos(delay));
	}

	@Override
	public void shutdown() {
		this.tasks.clear();
	}

	@Override
	public List<Runnable> shutdownNow() {
		this.tasks.clear();
		return new ArrayList<>();
	}

	@Override
	public boolean isShutdown() {
		return false;
	}

	@Override
	public boolean isTerminated() {
		return false;
	}

	@Override
	public boolean awaitTermination(long timeout, TimeUnit unit) {
		return true;
	}

	private final class Task extends CompletableFuture<Object> implements ScheduledFuture<Object>, Runnable {

		private final Runnable command;

		private final long period;

		private final long sequence;

		private long dueAt;

		private Task(Runnable command, long dueAt, long period, long sequence) {
			this.command = command;
			this.dueAt = dueAt;
			this.period = period;
			this.sequence = sequence;
		}

		@Override
		public void run() {
			if (isCancelled()) {
				return;
			}
			this.command.run();
			if (this.period > 0) {
				this.dueAt = ManualLoop.this.now + this.period;
				ManualLoop.this.tasks.add(this);
			}
		}

		@Override
		public long getDelay(TimeUnit unit) {
			return unit.convert(this.dueAt - ManualLoop.this.now, TimeUnit.NANOSECONDS);
		}

		@Override
		public int compareTo(Delayed other) {
			return Long.compare(getDelay(TimeUnit.NANOSECONDS), other.getDelay(TimeUnit.NANOSECONDS));
		}

	}

}
