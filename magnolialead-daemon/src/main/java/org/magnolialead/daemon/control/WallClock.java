package org.magnolialead.daemon.control;

/**
 * Source of wall-clock time, which may step forwards and backwards.
 */
@FunctionalInterface
public interface WallClock {

	/**
	 * Clock of this VM.
	 */
	WallClock SYSTEM = System::currentTimeMillis;

	/**
	 * Returns the present time.
	 * @return milliseconds since 1970
	 */
	long milliseconds();

}
