package org.magnolialead.engine.session;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link MemberPath}.
 */
class MemberPathTests {

	private final MemberPath path = new MemberPath(1);

	/**
	 * Guards against relayed connections while the direct path works.
	 */
	@Test
	void connectionsAreDirectUntilOneFails() {
		assertThat(this.path.nextRelay(3, false, 0)).isEmpty();
		this.path.directFailed(0);
		assertThat(this.path.nextRelay(3, false, 1)).hasValue(1);
		this.path.directOpened();
		assertThat(this.path.nextRelay(3, false, 2)).isEmpty();
	}

	/**
	 * Guards against a daemon that keeps using a relay after the partition has healed.
	 */
	@Test
	void directPathIsTriedAgain() {
		this.path.directFailed(0);
		assertThat(this.path.nextRelay(3, false, MemberPath.DIRECT_RETRY_INTERVAL_NANOSECONDS - 1)).isPresent();
		assertThat(this.path.nextRelay(3, false, MemberPath.DIRECT_RETRY_INTERVAL_NANOSECONDS)).isEmpty();
	}

	/**
	 * Guards against work that waits for a slow direct connection attempt.
	 */
	@Test
	void relaysAreUsedWhileTheDirectPathIsTried() {
		this.path.directFailed(0);
		assertThat(this.path.nextRelay(3, true, MemberPath.DIRECT_RETRY_INTERVAL_NANOSECONDS)).isPresent();
	}

	/**
	 * Guards against repeated use of a relay that is on the same side of the partition.
	 */
	@Test
	void relayThatFailsIsReplaced() {
		this.path.directFailed(0);
		this.path.relayFailed();
		assertThat(this.path.nextRelay(3, false, 1)).hasValue(2);
		this.path.relayFailed();
		assertThat(this.path.nextRelay(3, false, 1)).hasValue(0);
		this.path.relayOpened();
		assertThat(this.path.nextRelay(3, false, 1)).hasValue(0);
	}

	/**
	 * Guards against continuous attempts when a member is down and all relays fail to
	 * reach it.
	 */
	@Test
	void roundOfRelaysEndsWithADelay() {
		this.path.directFailed(0);
		assertThat(this.path.hasUntriedRelay()).isFalse();
		this.path.relayFailed();
		assertThat(this.path.hasUntriedRelay()).isTrue();
		this.path.relayFailed();
		this.path.relayFailed();
		assertThat(this.path.hasUntriedRelay()).isFalse();
	}

	/**
	 * Guards against a division by zero, and against a daemon that never connects because
	 * it is the only one of its fleet.
	 */
	@Test
	void withoutRelaysConnectionsAreDirect() {
		this.path.directFailed(0);
		assertThat(this.path.nextRelay(0, false, 1)).isEmpty();
	}

}
