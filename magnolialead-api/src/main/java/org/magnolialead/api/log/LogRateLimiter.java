package org.magnolialead.api.log;

/**
 * Limits how many lines are logged per second, so that a burst of failures does not flood
 * the log. Not thread-safe.
 */
public final class LogRateLimiter {

	private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

	private final int linesPerSecond;

	private long windowEndNanoseconds;

	private int linesInWindow;

	private long droppedLines;

	/**
	 * Creates a rate limiter.
	 * @param linesPerSecond maximum number of lines per second
	 * @param now current time of the monotonic clock in nanoseconds
	 */
	public LogRateLimiter(int linesPerSecond, long now) {
		this.linesPerSecond = linesPerSecond;
		this.windowEndNanoseconds = now + NANOSECONDS_PER_SECOND;
	}

	/**
	 * Requests permission to log one line, and counts the line as dropped if it is
	 * refused.
	 * @param now current time of the monotonic clock in nanoseconds
	 * @return {@code true} if the line may be logged, {@code false} if it must be dropped
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
	 * Returns the number of lines dropped since the last call and resets it. Callers log
	 * this number before the next line, so that readers know how many lines are missing.
	 * @return the number of dropped lines
	 */
	public long takeDroppedLines() {
		long count = this.droppedLines;
		this.droppedLines = 0;
		return count;
	}

}
