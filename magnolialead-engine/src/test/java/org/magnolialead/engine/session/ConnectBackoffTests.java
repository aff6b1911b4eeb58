package org.magnolialead.engine.session;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConnectBackoff}.
 */
class ConnectBackoffTests {

	private final ConnectBackoff backoff = new ConnectBackoff(0);

	/**
	 * Guards against daemons that open additional connections while other daemons have
	 * none.
	 */
	@Test
	void additionalConnectionsWaitForTheStartOfTheFleet() {
		assertThat(this.backoff.permits(ConnectionPurpose.FIRST, 0)).isTrue();
		assertThat(this.backoff.permits(ConnectionPurpose.ADDITIONAL, ConnectBackoff.STARTUP_DELAY_NANOSECONDS - 1))
			.isFalse();
		assertThat(this.backoff.permits(ConnectionPurpose.ADDITIONAL, ConnectBackoff.STARTUP_DELAY_NANOSECONDS))
			.isTrue();
	}

	/**
	 * Guards against a connection storm on a member that is down, and against an
	 * unbounded delay.
	 */
	@Test
	void delayDoublesUpToALimit() {
		for (long delayMilliseconds : new long[] { 50, 100, 200, 200 }) {
			this.backoff.failed(false, 0);
			assertThat(this.backoff.permits(ConnectionPurpose.FIRST, delayMilliseconds * 1_000_000 - 1)).isFalse();
			assertThat(this.backoff.permits(ConnectionPurpose.FIRST, delayMilliseconds * 1_000_000)).isTrue();
		}
		this.backoff.opened();
		this.backoff.failed(false, 0);
		assertThat(this.backoff.permits(ConnectionPurpose.FIRST, ConnectBackoff.FIRST_DELAY_NANOSECONDS)).isTrue();
	}

	/**
	 * Guards against a delay before another path is tried.
	 */
	@Test
	void otherPathIsTriedWithoutDelay() {
		this.backoff.failed(true, 7);
		assertThat(this.backoff.permits(ConnectionPurpose.FIRST, 7)).isTrue();
		assertThat(this.backoff.hasNoFailure()).isFalse();
	}

	/**
	 * Guards against additional connections that compete with first connections of other
	 * daemons for the last connections of a member.
	 */
	@Test
	void additionalConnectionsWaitLongerAfterARefusal() {
		this.backoff.refused(0);
		assertThat(this.backoff.permits(ConnectionPurpose.FIRST, ConnectBackoff.REFUSED_DELAY_NANOSECONDS)).isTrue();
		assertThat(this.backoff.permits(ConnectionPurpose.ADDITIONAL, ConnectBackoff.REFUSED_DELAY_NANOSECONDS))
			.isFalse();
		assertThat(
				this.backoff.permits(ConnectionPurpose.ADDITIONAL, ConnectBackoff.ADDITIONAL_REFUSED_DELAY_NANOSECONDS))
			.isTrue();
	}

	/**
	 * Guards against holders that try again and again to open their further connections
	 * while a member still keeps those of processes that have ended. In measurements a
	 * restarted fleet made thousands of such attempts.
	 */
	@Test
	void heldConnectionsWaitLongerThanTheFirstAfterARefusal() {
		ConnectBackoff backoff = new ConnectBackoff(0);
		assertThat(backoff.permits(ConnectionPurpose.HELD, 0)).isTrue();
		backoff.refused(0);
		long firstAt = ConnectBackoff.REFUSED_DELAY_NANOSECONDS;
		long heldAt = ConnectBackoff.ADDITIONAL_REFUSED_DELAY_NANOSECONDS;
		assertThat(backoff.permits(ConnectionPurpose.FIRST, firstAt)).isTrue();
		assertThat(backoff.permits(ConnectionPurpose.HELD, firstAt)).isFalse();
		assertThat(backoff.permits(ConnectionPurpose.HELD, heldAt)).isTrue();
	}

}
