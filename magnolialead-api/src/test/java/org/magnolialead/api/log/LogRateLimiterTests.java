package org.magnolialead.api.log;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against log lines whose number grows with a flood, and against lines that are
 * dropped without a word.
 */
class LogRateLimiterTests {

	private static final long SECOND = 1_000_000_000L;

	@Test
	void linesOfOneSecondAreLimitedAndTheRestIsCounted() {
		LogRateLimiter budget = new LogRateLimiter(3, 0);
		int taken = 0;
		for (int line = 0; line < 10; line++) {
			taken += budget.tryAcquire(SECOND / 2) ? 1 : 0;
		}
		assertThat(taken).isEqualTo(3);
		assertThat(budget.tryAcquire(2 * SECOND)).isTrue();
		assertThat(budget.takeDroppedLines()).isEqualTo(7);
		assertThat(budget.takeDroppedLines()).isZero();
	}

}
