package org.magnolialead.daemon.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.concurrent.ThreadFactory;
import java.util.function.BooleanSupplier;

/**
 * Utilities for measurements: processor time, memory use and waiting.
 */
final class Measure {

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	private static final long POLL_INTERVAL_MILLISECONDS = 5;

	private Measure() {
	}

	static ThreadFactory threads(String name) {
		return (task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		};
	}

	/**
	 * Returns the processor time of the running threads whose names start with one of the
	 * prefixes.
	 * @param prefixes prefixes of thread names
	 * @return the time in nanoseconds
	 */
	static long processorTime(String... prefixes) {
		long sum = 0;
		for (long id : THREADS.getAllThreadIds()) {
			var information = THREADS.getThreadInfo(id);
			if (information != null && Arrays.stream(prefixes).anyMatch(information.getThreadName()::startsWith)) {
				sum += Math.max(0, THREADS.getThreadCpuTime(id));
			}
		}
		return sum;
	}

	static long usedBytes() {
		for (int round = 0; round < 3; round++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	static double load() {
		return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
	}

	static void await(BooleanSupplier condition) {
		while (!condition.getAsBoolean()) {
			pause(POLL_INTERVAL_MILLISECONDS);
		}
	}

	/**
	 * Waits for a condition.
	 * @param start start of the measured time, as returned by {@link System#nanoTime()}
	 * @param condition the condition
	 * @return the time from the start in milliseconds
	 */
	static double millisecondsUntil(long start, BooleanSupplier condition) {
		await(condition);
		return (System.nanoTime() - start) / 1e6;
	}

	static void pause(long milliseconds) {
		try {
			Thread.sleep(milliseconds);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException("interrupted", ex);
		}
	}

}
