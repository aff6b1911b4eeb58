package org.magnolialead.daemon.control;

/**
 * Source of wall-clock time, which may step forward or backward.
 */
@FunctionalInterface
public interface WallClock {

	/**
	 * System clock of this VM.
	 */
	WallClock SYSTEM = System::currentTimeMillis;

	/**
	 * Returns the current time.
	 * @return milliseconds since 1970
	 */
	long milliseconds();

}
