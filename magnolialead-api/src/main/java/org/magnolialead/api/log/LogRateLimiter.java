package org.magnolialead.api.log;

/**
 * Limit on how often one kind of event is logged, so that a flood of failures does not
 * become a flood of lines. Not safe for concurrent use.
 */
public final class LogRateLimiter {

	private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

	private final int linesPerSecond;

	private long windowEndNanoseconds;

	private int linesInWindow;

	private long droppedLines;

	/**
	 * Creates a budget.
	 * @param linesPerSecond greatest number of lines in one second
	 * @param now present time in nanoseconds
	 */
	public LogRateLimiter(int linesPerSecond, long now) {
		this.linesPerSecond = linesPerSecond;
		this.windowEndNanoseconds = now + NANOSECONDS_PER_SECOND;
	}

	/**
	 * Takes one line from the budget.
	 * @param now present time in nanoseconds
	 * @return {@code false} if the line has to be dropped
	 */
	public boolean tryAcquire(long now) {
		if (now - this.windowEndNanoseconds >= 0) {
			this.windowEndNanoseconds = now + NANOSECONDS_PER_SECOND;
			this.linesInWindow = 0;
		}
		if (this.linesInWindow >= this.linesPerSecond) {
			this.droppedLines++;
			return false;
		}
		this.linesInWindow++;
		return true;
	}

	/**
	 * Returns how many lines were dropped since the last call. To be called before a line
	 * is logged, so that readers know what is missing.
	 * @return the number
	 */
	public long takeDroppedLines() {
		long count = this.droppedLines;
		this.droppedLines = 0;
		return count;
	}

}
