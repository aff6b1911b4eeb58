package org.magnolialead.api;

/**
 * Monotonic time source that is not affected by adjustments of the system clock.
 * Deadlines within a process are times of this clock.
 */
@FunctionalInterface
public interface MonotonicClock {

	/**
	 * Monotonic clock of the JVM.
	 */
	MonotonicClock SYSTEM = System::nanoTime;

	/**
	 * Returns the current time.
	 * @return the time in nanoseconds since an arbitrary origin
	 */
	long nanoseconds();

}
