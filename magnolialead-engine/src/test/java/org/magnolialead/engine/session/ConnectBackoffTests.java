package org.magnolialead.engine.session;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Waits between attempts to connect to a member.
 */
class ConnectBackoffTests {

	private final ConnectBackoff schedule = new ConnectBackoff(0);

	/**
	 * Guards against daemons that take second connections while others have none.
	 */
	@Test
	void furtherConnectionsWaitForTheStartOfTheFleet() {
		assertThat(this.schedule.permits(false, 0)).isTrue();
		assertThat(this.schedule.permits(true, ConnectBackoff.START_NANOSECONDS - 1)).isFalse();
		assertThat(this.schedule.permits(true, ConnectBackoff.START_NANOSECONDS)).isTrue();
	}

	/**
	 * Guards against a storm of attempts at a member that is down, and against a wait
	 * that grows for ever.
	 */
	@Test
	void waitDoublesUpToALimit() {
		for (long wait : new long[] { 50, 100, 200, 200 }) {
			this.schedule.failed(false, 0);
			assertThat(this.schedule.permits(false, wait * 1_000_000 - 1)).isFalse();
			assertThat(this.schedule.permits(false, wait * 1_000_000)).isTrue();
		}
		this.schedule.opened();
		this.schedule.failed(false, 0);
		assertThat(this.schedule.permits(false, ConnectBackoff.FIRST_DELAY_NANOSECONDS)).isTrue();
	}

	/**
	 * Guards against a wait before another path is tried.
	 */
	@Test
	void otherPathIsTriedAtOnce() {
		this.schedule.failed(true, 7);
		assertThat(this.schedule.permits(false, 7)).isTrue();
		assertThat(this.schedule.hasNoFailure()).isFalse();
	}

	/**
	 * Guards against further connections that compete with first ones of other daemons
	 * for the last places of a member.
	 */
	@Test
	void furtherConnectionsWaitLongerAfterARefusal() {
		this.schedule.refused(0);
		assertThat(this.schedule.permits(false, ConnectBackoff.REFUSED_NANOSECONDS)).isTrue();
		assertThat(this.schedule.permits(true, ConnectBackoff.REFUSED_NANOSECONDS)).isFalse();
		assertThat(this.schedule.permits(true, ConnectBackoff.EXTRA_REFUSED_NANOSECONDS)).isTrue();
	}

}
