package org.magnolialead.daemon.control;

import java.util.concurrent.TimeUnit;

import org.magnolialead.api.MonotonicClock;

/**
 * Clock that determines when records of non-repeatable requests expire. Continues from
 * the time in the control state and advances with the monotonic clock; the wall clock is
 * read only for a new cluster. Otherwise a wall clock step could remove records early and
 * allow a request to run twice.
 */
final class LedgerClock {

	private final MonotonicClock clock;

	private final long originMilliseconds;

	private final long originNanoseconds;

	LedgerClock(long ledgerTime, WallClock wallClock, MonotonicClock clock) {
		this.clock = clock;
		this.originMilliseconds = (ledgerTime > 0) ? ledgerTime : wallClock.milliseconds();
		this.originNanoseconds = clock.nanoseconds();
	}

	long milliseconds() {
		long elapsed = this.clock.nanoseconds() - this.originNanoseconds;
		return this.originMilliseconds + TimeUnit.NANOSECONDS.toMillis(elapsed);
	}

}
