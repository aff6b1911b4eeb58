package org.magnolialead.engine.session;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * Limit of the statements that one daemon has in flight at one member, learned from the
 * answers to real statements. The limit falls in proportion when the median time of the
 * statements of one priority exceeds twice what is usual there in two windows in
 * succession, and rises by one with each window of usual times in which it was reached.
 * Times are compared within a priority only, because the work of the priorities differs.
 * Not thread-safe.
 */
public final class ConcurrencyLimit {

	/** Limit of a member of which too little is known. */
	public static final int DEFAULT_LIMIT = 4;

	/** Least limit, so that no member is removed. */
	public static final int MINIMUM_LIMIT = 1;

	/** Least urgent rank; lower priorities count as this rank. */
	private static final int LOWEST_RANK = 2;

	/**
	 * Multiple of the usual time above which a window is slow. Of the medians of 16
	 * exponential times, 10% exceed it without any cause, and 1% twice in succession.
	 */
	private static final double SLOW = 2;

	/** Multiple of the usual time up to which the limit may rise. */
	private static final double NORMAL = 1.5;

	/** Least factor of one decrease, because a window may hold few samples. */
	private static final double MAXIMUM_DECREASE = 0.5;

	/**
	 * Number of slow windows in succession after which the limit falls. One may be due to
	 * a burst.
	 */
	private static final int SLOW_WINDOWS = 2;

	/** Least slowness of a window in which the member refused as many statements. */
	private static final double REFUSED_SLOWNESS = 3;

	/** Time without a complete window after which the default applies again. */
	private static final long MEMORY_NANOSECONDS = TimeUnit.SECONDS.toNanos(30);

	private final StatementTimeWindow[] windows = new StatementTimeWindow[LOWEST_RANK + 1];

	private final SmoothedTime smoothed = new SmoothedTime();

	private int limit = DEFAULT_LIMIT;

	private int peakInFlight;

	private int refusals;

	private int slowWindows;

	private long learnedAt;

	/**
	 * Creates a limit of a member of which nothing is known.
	 * @param now present time in nanoseconds
	 */
	public ConcurrencyLimit(long now) {
		for (int rank = 0; rank <= LOWEST_RANK; rank++) {
			this.windows[rank] = new StatementTimeWindow();
		}
		this.learnedAt = now;
	}

	/**
	 * Returns the limit.
	 * @param now present time in nanoseconds
	 * @return number of statements, at least {@link #MINIMUM_LIMIT}
	 */
	public int value(long now) {
		return (now - this.learnedAt > MEMORY_NANOSECONDS) ? DEFAULT_LIMIT : this.limit;
	}

	/**
	 * Records that a statement is sent.
	 * @param inFlight statements in flight at the member, including this one
	 * @param now present time in nanoseconds
	 */
	public void started(int inFlight, long now) {
		this.peakInFlight = Math.max(this.peakInFlight, inFlight);
		this.smoothed.started(now);
	}

	/**
	 * Records the time of a statement that the member has executed, or the age of one
	 * that is given up without an answer. Failed statements must not be recorded, because
	 * they may end early.
	 * @param priority priority of the statement
	 * @param nanoseconds time from the statement to its answer in nanoseconds
	 * @param now present time in nanoseconds
	 */
	public void answered(int priority, long nanoseconds, long now) {
		this.smoothed.answered(nanoseconds, now);
		OptionalDouble slowness = this.windows[rank(priority)].answered(nanoseconds, now);
		if (slowness.isPresent()) {
			boolean refusing = this.refusals >= StatementTimeWindow.MINIMUM_SAMPLES;
			windowEnded(refusing ? Math.max(REFUSED_SLOWNESS, slowness.getAsDouble()) : slowness.getAsDouble(), now);
		}
	}

	/**
	 * Records that the member refused a statement because its queue is full.
	 */
	public void refused() {
		this.refusals++;
	}

	private void windowEnded(double slowness, long now) {
		this.limit = value(now);
		this.learnedAt = now;
		this.slowWindows = (slowness > SLOW) ? this.slowWindows + 1 : 0;
		if (this.slowWindows >= SLOW_WINDOWS) {
			int used = Math.min(this.limit, Math.max(MINIMUM_LIMIT, this.peakInFlight));
			this.limit = Math.max(MINIMUM_LIMIT, (int) (used * Math.max(MAXIMUM_DECREASE, SLOW / slowness)));
		}
		else if (slowness <= NORMAL && this.peakInFlight >= this.limit) {
			this.limit++;
		}
		this.peakInFlight = 0;
		this.refusals = 0;
	}

	/**
	 * Returns the time after which a statement that is sent now is expected to be
	 * answered, relative to other members. The smoothed time includes the queue of the
	 * member; the factor spreads the statements that are sent before their effect on it
	 * is seen.
	 * @param inFlight statements in flight at the member, without this one
	 * @param now present time in nanoseconds
	 * @return the time in nanoseconds
	 */
	public long expectedNanoseconds(int inFlight, long now) {
		return (long) (this.smoothed.expectedNanoseconds(now) * (1 + inFlight));
	}

	/**
	 * Returns the smoothed time from a statement to its answer.
	 * @return the time in nanoseconds, 0 if no statement was answered
	 */
	public long smoothedNanoseconds() {
		return this.smoothed.nanoseconds();
	}

	private static int rank(int priority) {
		return Math.max(0, Math.min(LOWEST_RANK, priority));
	}

}
