package org.magnolialead.api;

/**
 * Source of time that never goes back and that clock changes do not affect. All deadlines
 * are values of this clock.
 */
@FunctionalInterface
public interface MonotonicClock {

	/**
	 * Clock of this process.
	 */
	MonotonicClock SYSTEM = System::nanoTime;

	/**
	 * Returns the present time.
	 * @return the time in nanoseconds from an arbitrary origin
	 */
	long nanoseconds();

}
