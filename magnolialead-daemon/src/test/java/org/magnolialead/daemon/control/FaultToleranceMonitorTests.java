package org.magnolialead.daemon.control;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.magnolialead.engine.consensus.FaultTolerance;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the report about too few voters.
 */
class FaultToleranceMonitorTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private final FaultToleranceMonitor monitor = new FaultToleranceMonitor(new FaultTolerance(2));

	/**
	 * Guards against a fleet that cannot bear its losses and does not say so.
	 */
	@Test
	void lackOfVotersIsReportedOnceItPersists() {
		assertThat(this.monitor.check(true, 4, 0)).isFalse();
		assertThat(this.monitor.check(true, 4, 10 * SECOND - 1)).isFalse();
		assertThat(this.monitor.check(true, 4, 10 * SECOND)).isTrue();
		assertThat(this.monitor.check(true, 5, 11 * SECOND)).isFalse();
	}

	/**
	 * Guards against reports of voters that only restart.
	 */
	@Test
	void shortLackOfVotersIsNotReported() {
		this.monitor.check(true, 4, 0);
		this.monitor.check(true, 5, 9 * SECOND);
		assertThat(this.monitor.check(true, 4, 10 * SECOND)).isFalse();
		assertThat(this.monitor.check(true, 4, 19 * SECOND)).isFalse();
	}

	@Test
	void followerDoesNotReport() {
		this.monitor.check(false, 4, 0);
		assertThat(this.monitor.check(false, 4, 20 * SECOND)).isFalse();
	}

}
