package org.magnolialead.engine.consensus;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RecoveryBackoff}.
 */
class RecoveryBackoffTests {

	private static final long FIRST = RecoveryBackoff.FIRST_DELAY_NANOSECONDS;

	private final RecoveryBackoff backoff = new RecoveryBackoff();

	/** Guards against a disk that is full for good and is tried without pause. */
	@Test
	void delayGrowsToItsMaximum() {
		long now = 0;
		for (long factor : new long[] { 1, 2, 4, 8, 8 }) {
			this.backoff.failed(now);
			assertThat(this.backoff.permits(now + factor * FIRST - 1)).isFalse();
			assertThat(this.backoff.permits(now + factor * FIRST)).isTrue();
			now += factor * FIRST;
		}
	}

	/**
	 * Guards against a long pause after a failure that has nothing to do with the last.
	 */
	@Test
	void delayStartsAnewAfterATimeWithoutAFailure() {
		this.backoff.failed(0);
		this.backoff.failed(FIRST);
		long later = FIRST + RecoveryBackoff.RESET_NANOSECONDS;
		this.backoff.failed(later);
		assertThat(this.backoff.permits(later + FIRST)).isTrue();
	}

}
