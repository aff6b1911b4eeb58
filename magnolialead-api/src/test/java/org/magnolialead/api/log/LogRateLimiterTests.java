package org.magnolialead.api.log;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LogRateLimiter}.
 */
class LogRateLimiterTests {

	private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

	// Guards against a burst of failures that floods the log, and against uncounted
	// dropped lines.
	@Test
	void limitsLinesPerSecondAndCountsDroppedLines() {
		LogRateLimiter limiter = new LogRateLimiter(3, 0);
		int permitted = 0;
		for (int line = 0; line < 10; line++) {
			permitted += limiter.tryAcquire(NANOSECONDS_PER_SECOND / 2) ? 1 : 0;
		}
		assertThat(permitted).isEqualTo(3);
		assertThat(limiter.tryAcquire(2 * NANOSECONDS_PER_SECOND)).isTrue();
		assertThat(limiter.takeDroppedLines()).isEqualTo(7);
		assertThat(limiter.takeDroppedLines()).isZero();
	}

}
