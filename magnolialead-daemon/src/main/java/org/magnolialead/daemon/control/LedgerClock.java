package org.magnolialead.daemon.control;

import java.util.concurrent.TimeUnit;

import org.magnolialead.api.MonotonicClock;

/**
 * Time by which records of non-repeatable requests are forgotten. It continues from the
 * time in the control state and advances with the monotonic clock; the wall clock is read
 * only for a new cluster. A step of a wall clock would otherwise remove records early and
 * let a request run twice.
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
