package org.magnolialead.engine.session;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the limit of statements in flight that is learned from answers.
 */
class ConcurrencyLimitTests {

	private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	private final ConcurrencyLimit limit = new ConcurrencyLimit(0);

	private long now;

	/** Answers statements one each 20 ms, each tenth one after another time. */
	private void answer(int count, int priority, int inFlight, long milliseconds, long tenthMilliseconds) {
		for (int index = 1; index <= count; index++) {
			this.now += 20 * MILLISECOND;
			this.limit.started(inFlight, this.now);
			long time = (index % 10 == 0) ? tenthMilliseconds : milliseconds;
			this.limit.answered(priority, time * MILLISECOND, this.now);
		}
	}

	private void answer(int count, int inFlight, long milliseconds) {
		answer(count, 1, inFlight, milliseconds, milliseconds);
	}

	/**
	 * Guards against a limit that follows a few answers of a member with little traffic.
	 */
	@Test
	void fewAnswersDoNotChangeTheDefault() {
		answer(32, 4, 20);
		int before = this.limit.value(this.now);
		for (int index = 0; index < 15; index++) {
			this.now += 300 * MILLISECOND;
			answer(1, 4, 2_000);
		}
		assertThat(this.limit.value(this.now)).isEqualTo(before);
	}

	/**
	 * Guards against a limit that stays high at a member that slows down, falls below
	 * one, or stays low after the member has recovered.
	 */
	@Test
	void limitFollowsAMemberThatSlowsDownAndRecovers() {
		answer(64, 4, 20);
		answer(100, 4, 200);
		assertThat(this.limit.value(this.now)).isEqualTo(ConcurrencyLimit.MINIMUM_LIMIT);
		answer(200, 8, 20);
		assertThat(this.limit.value(this.now)).isGreaterThanOrEqualTo(ConcurrencyLimit.DEFAULT_LIMIT);
	}

	/**
	 * Guards against a burst shorter than two windows that lowers the limit.
	 */
	@Test
	void shortBurstDoesNotLowerTheLimit() {
		answer(64, 4, 20);
		int before = this.limit.value(this.now);
		answer(16, 8, 300);
		answer(16, 4, 20);
		assertThat(this.limit.value(this.now)).isGreaterThanOrEqualTo(before);
	}

	/**
	 * Guards against a burst that counts as several windows because it has many answers.
	 */
	@Test
	void manyAnswersInAShortTimeAreOneWindow() {
		answer(64, 4, 20);
		int before = this.limit.value(this.now);
		for (int index = 0; index < 200; index++) {
			this.limit.started(8, this.now);
			this.limit.answered(1, 300 * MILLISECOND, this.now + index * MILLISECOND);
		}
		assertThat(this.limit.value(this.now)).isGreaterThanOrEqualTo(before);
	}

	/**
	 * Guards against one long-running statement after which reads avoid its member.
	 */
	@Test
	void singleLongStatementChangesTheSmoothedTimeLittle() {
		answer(64, 4, 20);
		answer(1, 4, 2_000);
		assertThat(this.limit.smoothedNanoseconds()).isLessThan(40 * MILLISECOND);
	}

	/**
	 * Guards against a limit that stays at one for a member that is slower for good.
	 */
	@Test
	void lastingSlownessBecomesUsual() {
		answer(64, 4, 20);
		answer(100, 4, 200);
		answer(3_200, 4, 200);
		assertThat(this.limit.value(this.now)).isGreaterThanOrEqualTo(ConcurrencyLimit.DEFAULT_LIMIT);
	}

	/**
	 * Guards against long-running statements, of a share or of a priority of their own,
	 * that count as a slow member.
	 */
	@Test
	void longRunningWorkDoesNotLowerTheLimit() {
		answer(64, 4, 20);
		int before = this.limit.value(this.now);
		answer(200, 1, 4, 20, 2_000);
		answer(64, 2, 4, 600, 600);
		assertThat(this.limit.value(this.now)).isGreaterThanOrEqualTo(before);
		assertThat(this.limit.smoothedNanoseconds()).isLessThanOrEqualTo(600 * MILLISECOND);
	}

	/**
	 * Guards against a limit that grows without being used, which would not hold once it
	 * is needed.
	 */
	@Test
	void unusedLimitDoesNotRise() {
		answer(500, 1, 20);
		assertThat(this.limit.value(this.now)).isEqualTo(ConcurrencyLimit.DEFAULT_LIMIT);
	}

	/**
	 * Guards against a limit that rises at a member that refuses most statements and
	 * answers the others fast.
	 */
	@Test
	void refusalsLowerTheLimit() {
		answer(64, 4, 20);
		for (int index = 0; index < 200; index++) {
			this.limit.refused();
			answer(1, 4, 20);
		}
		assertThat(this.limit.value(this.now)).isEqualTo(ConcurrencyLimit.MINIMUM_LIMIT);
	}

	/**
	 * Guards against a limit that is kept although nothing recent is known.
	 */
	@Test
	void limitWithoutRecentAnswersIsTheDefault() {
		answer(64, 4, 20);
		answer(100, 4, 200);
		assertThat(this.limit.value(this.now + TimeUnit.SECONDS.toNanos(31))).isEqualTo(ConcurrencyLimit.DEFAULT_LIMIT);
	}

	/**
	 * Guards against a slow member that is avoided and never tried again.
	 */
	@Test
	void avoidedMemberIsTriedAgain() {
		answer(20, 1, 80);
		assertThat(this.limit.expectedNanoseconds(0, this.now)).isGreaterThan(70 * MILLISECOND);
		long later = this.now + TimeUnit.SECONDS.toNanos(30);
		assertThat(this.limit.expectedNanoseconds(0, later)).isLessThan(20 * MILLISECOND);
		this.limit.started(1, later);
		assertThat(this.limit.expectedNanoseconds(1, later)).isGreaterThan(140 * MILLISECOND);
	}

}
