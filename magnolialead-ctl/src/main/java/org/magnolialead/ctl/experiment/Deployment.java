package org.magnolialead.ctl.experiment;

import java.util.concurrent.TimeUnit;

/**
 * Figures of an organisation that the experiments model. Times are nanoseconds.
 */
public enum Deployment {

	/** Boiler reminders; availability zones are 0.5 ms apart. */
	FOUNDATION(TimeUnit.MICROSECONDS.toNanos(500), 20),

	/** Stone worktops; availability zones are 1 ms apart. */
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
	 * Returns the time of one way between two availability zones.
	 * @return the time in nanoseconds
	 */
	long oneWayDelayNanoseconds() {
		return this.oneWayDelayNanoseconds;
	}

	/**
	 * Returns the number of connections that a member accepts.
	 * @return the number
	 */
	int connectionLimit() {
		return this.connectionLimit;
	}

}
