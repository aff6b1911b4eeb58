package org.magnolialead.daemon.entry;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

import org.magnolialead.api.Step;
import org.magnolialead.api.log.LogEvent;

/**
 * Executor that runs tasks sequentially, in submission order, on a shared executor.
 */
public final class SerialExecutor implements Executor {

	private static final System.Logger LOGGER = System.getLogger(SerialExecutor.class.getName());

	/**
	 * Number of tasks to run before returning the thread to the shared executor, so that
	 * one busy group does not monopolize it.
	 */
	private static final int MAXIMUM_BATCH_TASKS = 64;

	private final Executor shared;

	private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

	private final AtomicInteger waiting = new AtomicInteger();

	/**
	 * Creates a serial executor.
	 * @param shared executor that supplies the threads
	 */
	public SerialExecutor(Executor shared) {
		this.shared = shared;
	}

	@Override
	public void execute(Runnable task) {
		this.tasks.add(task);
		if (this.waiting.getAndIncrement() == 0) {
			this.shared.execute(this::runBatch);
		}
	}

	private void runBatch() {
		for (int executed = 0; executed < MAXIMUM_BATCH_TASKS; executed++) {
			runOne(this.tasks.poll());
			if (this.waiting.decrementAndGet() == 0) {
				return;
			}
		}
		this.shared.execute(this::runBatch);
	}

	private static void runOne(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException | AssertionError ex) {
			LogEvent.REQUEST_FAILED_UNEXPECTEDLY.log(LOGGER, Step.EXECUTE, "", ex);
		}
	}

}
