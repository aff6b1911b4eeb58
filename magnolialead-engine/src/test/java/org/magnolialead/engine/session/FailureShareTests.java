package org.magnolialead.engine.session;

import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the preference for members that do not fail their work.
 */
class FailureShareTests {

	private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	private final FailureShare share = new FailureShare(0);

	/**
	 * Guards against a member that fails a part of its work quickly and is preferred
	 * because of that.
	 */
	@Test
	void memberThatFailsQuicklyIsExpectedToTakeLonger() {
		Random random = new Random(1);
		for (int count = 1; count <= 200; count++) {
			this.share.record(random.nextDouble() < 0.4, count * MILLISECOND);
		}
		assertThat(this.share.expectedNanoseconds(3 * MILLISECOND, 200 * MILLISECOND)).isGreaterThan(10 * MILLISECOND);
	}

	/**
	 * Guards against a member that receives no work any more after one failure.
	 */
	@Test
	void singleFailureCostsLittle() {
		this.share.record(true, 0);
		assertThat(this.share.expectedNanoseconds(0, 0)).isLessThan(15 * MILLISECOND);
	}

	/**
	 * Guards against a member that has recovered and is never preferred again.
	 */
	@Test
	void shareFadesWithoutWork() {
		for (int count = 0; count < 100; count++) {
			this.share.record(true, 0);
		}
		assertThat(this.share.value(0)).isGreaterThan(0.99);
		assertThat(this.share.value(TimeUnit.SECONDS.toNanos(10))).isZero();
	}

	@Test
	void shareFallsWithSuccesses() {
		this.share.record(true, 0);
		double before = this.share.value(0);
		this.share.record(false, 0);
		assertThat(this.share.value(0)).isLessThan(before);
	}

}
