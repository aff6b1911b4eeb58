package org.magnolialead.engine.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Smoothed service times of the routes of a group. It answers a mix of short and long
 * work: one smoothed time for all of it refuses short urgent work that would be served in
 * time, and admits long work that would not. Not thread-safe.
 */
public final class ServiceTimes {

	/** Reciprocal of the weight of the latest sample. */
	private static final int SMOOTHING_DIVISOR = 8;

	/**
	 * Divisor for the part of the statement timeout that an estimate may take. Without a
	 * maximum, a few stalled statements would make a new request count as one that cannot
	 * complete, and no sample would ever correct the estimate.
	 */
	private static final int MAXIMUM_DIVISOR = 2;

	private final Map<Key, Long> smoothed = new HashMap<>();

	/**
	 * Records a completed piece of work.
	 * @param database database of the route
	 * @param work kind of the work
	 * @param nanoseconds time in nanoseconds from the grant of the connection
	 */
	public void record(String database, Work work, long nanoseconds) {
		this.smoothed.merge(new Key(database, work), Math.max(0, nanoseconds),
				(known, latest) -> known + (latest - known) / SMOOTHING_DIVISOR);
	}

	/**
	 * Returns the expected service time.
	 * @param database database of the route
	 * @param work kind of the work
	 * @param timeoutNanoseconds statement timeout of the route in nanoseconds
	 * @param unknown time in nanoseconds that applies before the first sample
	 * @return the time in nanoseconds, at most half of the timeout
	 */
	public long expected(String database, Work work, long timeoutNanoseconds, long unknown) {
		long expected = this.smoothed.getOrDefault(new Key(database, work), unknown);
		return Math.min(expected, timeoutNanoseconds / MAXIMUM_DIVISOR);
	}

	/**
	 * Kind of work whose time is learned.
	 */
	public enum Work {

		/** From the grant of the connection to the answer of the first statement. */
		STATEMENT,

		/** From the grant of the connection to the end of the transaction. */
		TRANSACTION

	}

	private record Key(String database, Work work) {

		Key {
			Objects.requireNonNull(database, "database must not be null");
			Objects.requireNonNull(work, "work must not be null");
		}

	}

}
