package org.magnolialead.engine.session;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Waits between attempts to connect to a member.
 */
class ConnectBackoffTests {

	private final ConnectBackoff backoff = new ConnectBackoff(0);

	/**
	 * Guards against daemons that take second connections while others have none.
	 */
	@Test
	void furtherConnectionsWaitForTheStartOfTheFleet() {
		assertThat(this.backoff.permits(false, 0)).isTrue();
		assertThat(this.backoff.permits(true, ConnectBackoff.STARTUP_DELAY_NANOSECONDS - 1)).isFalse();
		assertThat(this.backoff.permits(true, ConnectBackoff.STARTUP_DELAY_NANOSECONDS)).isTrue();
	}

	/**
	 * Guards against a storm of attempts at a member that is down, and against a wait
	 * that grows for ever.
	 */
	@Test
	void waitDoublesUpToALimit() {
		for (long wait : new long[] { 50, 100, 200, 200 }) {
			this.backoff.failed(false, 0);
			assertThat(this.backoff.permits(false, wait * 1_000_000 - 1)).isFalse();
			assertThat(this.backoff.permits(false, wait * 1_000_000)).isTrue();
		}
		this.backoff.opened();
		this.backoff.failed(false, 0);
		assertThat(this.backoff.permits(false, ConnectBackoff.FIRST_DELAY_NANOSECONDS)).isTrue();
	}

	/**
	 * Guards against a wait before another path is tried.
	 */
	@Test
	void otherPathIsTriedAtOnce() {
		this.backoff.failed(true, 7);
		assertThat(this.backoff.permits(false, 7)).isTrue();
		assertThat(this.backoff.hasNoFailure()).isFalse();
	}

	/**
	 * Guards against further connections that compete with first ones of other daemons
	 * for the last places of a member.
	 */
	@Test
	void furtherConnectionsWaitLongerAfterARefusal() {
		this.backoff.refused(0);
		assertThat(this.backoff.permits(false, ConnectBackoff.REFUSED_DELAY_NANOSECONDS)).isTrue();
		assertThat(this.backoff.permits(true, ConnectBackoff.REFUSED_DELAY_NANOSECONDS)).isFalse();
		assertThat(this.backoff.permits(true, ConnectBackoff.ADDITIONAL_REFUSED_DELAY_NANOSECONDS)).isTrue();
	}

}
