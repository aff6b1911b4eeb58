package org.magnolialead.engine.control;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the order of member reports.
 */
class ReportOrderTests {

	private static final long SECOND = 1_000_000_000L;

	private final ReportOrder order = new ReportOrder();

	@Test
	void earlierReportOfTheSameProcessIsOutdated() {
		assertThat(this.order.record("m", 1, 5, false, 0)).isTrue();
		assertThat(this.order.record("m", 1, 4, false, SECOND)).isFalse();
		assertThat(this.order.record("m", 1, 6, false, SECOND)).isTrue();
	}

	@Test
	void restartedMemberBeginsANewSequence() {
		this.order.record("m", 1, 500, false, 0);
		assertThat(this.order.record("m", 2, 1, false, SECOND)).isTrue();
		assertThat(this.order.record("m", 1, 501, false, SECOND)).isFalse();
	}

	/**
	 * Guards against a report that is acknowledged without being recorded when it is sent
	 * again after a failure.
	 */
	@Test
	void reportThatIsSentAgainIsHandledAgain() {
		this.order.record("m", 1, 5, false, 0);
		assertThat(this.order.record("m", 1, 5, false, SECOND)).isTrue();
	}

	/**
	 * Guards against a report of another writer with an enormous number, after which all
	 * true reports of the member would be ignored for ever.
	 */
	@Test
	void enormousNumberSilencesAMemberForALimitedTime() {
		this.order.record("m", 1, Long.MAX_VALUE, false, 0);
		assertThat(this.order.record("m", 1, 5, false, SECOND)).isFalse();
		assertThat(this.order.record("m", 1, 6, false, ReportOrder.RETENTION_NANOSECONDS)).isTrue();
		assertThat(this.order.record("m", 1, 7, false, ReportOrder.RETENTION_NANOSECONDS + SECOND)).isTrue();
	}

	/**
	 * Guards against a member that says that it is leaving and still receives work,
	 * because a report of another writer had a higher number.
	 */
	@Test
	void leavingProcessIsNeverOutdatedByItsOwnReports() {
		this.order.record("m", 1, 1_000_000, false, 0);
		assertThat(this.order.record("m", 1, 6, true, SECOND)).isTrue();
		assertThat(this.order.record("m", 1, 5, false, SECOND)).isFalse();
	}

	/**
	 * Guards against a late report of an earlier process that takes the present one out
	 * of use.
	 */
	@Test
	void leavingEarlierProcessIsOutdated() {
		this.order.record("m", 2, 1, false, 0);
		assertThat(this.order.record("m", 1, 500, true, SECOND)).isFalse();
	}

	/**
	 * Guards against invented names that occupy memory without bound.
	 */
	@Test
	void memoryIsBounded() {
		this.order.record("m", 1, 5, false, 0);
		for (int number = 0; number < ReportOrder.MAXIMUM_MEMBERS; number++) {
			this.order.record("invented-" + number, 1, 1, false, 0);
		}
		assertThat(this.order.record("m", 1, 4, false, 0)).isTrue();
	}

}
