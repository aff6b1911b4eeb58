package org.magnolialead.engine.quota;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnolialead.api.RateLimit;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an account that has more operations in a window than the operators
 * permit, and against rejections of what they permit.
 */
class RateLimitToleranceTests {

	private static final int WINDOW_SECONDS = 5;

	private static final double EXCESS = 0.1;

	private static final int SLACK = 20;

	private static final RateLimitTolerance TOLERANCE = new RateLimitTolerance(WINDOW_SECONDS, EXCESS, SLACK);

	@ParameterizedTest
	@CsvSource({ "1, 1", "9, 9", "9, 100", "247, 247", "1000, 0" })
	void windowStaysWithinWhatIsPermitted(double rate, double burst) {
		RateLimit granted = TOLERANCE.applyTo(new RateLimit(rate, burst));
		double permitted = (rate * WINDOW_SECONDS + burst) * (1 + EXCESS) + SLACK;
		double validSeconds = AccountQuota.VALIDITY_NANOSECONDS / TokenBucket.NANOSECONDS_PER_SECOND;
		double used = granted.burst() + granted.operationsPerSecond() * (WINDOW_SECONDS + validSeconds);
		assertThat(used).isLessThanOrEqualTo(permitted);
		assertThat(granted.operationsPerSecond()).isGreaterThanOrEqualTo(rate);
	}

	@Test
	void smallAccountIsGrantedItsTolerance() {
		assertThat(TOLERANCE.applyTo(new RateLimit(9, 9)).operationsPerSecond()).isGreaterThan(11);
	}

	@Test
	void nothingIsAddedWithoutAToleranceOrARate() {
		RateLimit limit = new RateLimit(9, 9);
		assertThat(RateLimitTolerance.NONE.applyTo(limit)).isEqualTo(limit);
		RateLimit none = new RateLimit(0, 0);
		assertThat(List.of(TOLERANCE.applyTo(none))).containsExactly(none);
	}

}
