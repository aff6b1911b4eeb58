package org.magnolialead.ctl.experiment;

import java.util.concurrent.TimeUnit;

/**
 * Parameters of a simulated deployment. Times are in nanoseconds.
 */
public enum Deployment {

	/**
	 * Deployment for boiler reminders, with a delay of 0.5 ms between availability zones.
	 */
	FOUNDATION(TimeUnit.MICROSECONDS.toNanos(500), 20),

	/** Deployment for stone worktops, with a delay of 1 ms between availability zones. */
	STEINWERKSTATT(TimeUnit.MILLISECONDS.toNanos(1), 35);

	static final int DAEMONS = 12;

	static final int SLOTS_PER_MEMBER = 2;

	static final long CONNECT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(10);

	private final long oneWayDelayNanoseconds;

	private final int connectionLimit;

	Deployment(long oneWayDelayNanoseconds, int connectionLimit) {
		this.oneWayDelayNanoseconds = oneWayDelayNanoseconds;
		this.connectionLimit = connectionLimit;
	}

	/**
	 * Returns the one-way network delay between two availability zones.
	 * @return the delay in nanoseconds
	 */
	long oneWayDelayNanoseconds() {
		return this.oneWayDelayNanoseconds;
	}

	/**
	 * Returns the maximum number of connections that a member accepts.
	 * @return the number
	 */
	int connectionLimit() {
		return this.connectionLimit;
	}

}
