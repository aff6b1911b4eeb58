package org.magnolialead.engine.session;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Work that waits for a missing primary.
 */
class OutageRuleTests {

	private static final long LOST_AT = 7_000_000_000L;

	/**
	 * Guards against clients that spend their retries before the successor leads.
	 */
	@Test
	void workWaitsWhileThePrimaryIsReplaced() {
		assertThat(OutageRule.waits(LOST_AT, false, false, LOST_AT + OutageRule.REPLACEMENT_NANOSECONDS - 1)).isTrue();
	}

	/**
	 * Guards against clients that wait in vain at a daemon that is cut off.
	 */
	@Test
	void workIsRefusedOnceNoReplacementComes() {
		assertThat(OutageRule.waits(LOST_AT, false, false, LOST_AT + OutageRule.REPLACEMENT_NANOSECONDS)).isFalse();
	}

	/**
	 * Guards against clients that wait at a daemon that cannot find the new primary.
	 */
	@Test
	void workWaitsShorterForASuccessorThatLeadsAlready() {
		assertThat(OutageRule.waits(LOST_AT, true, false, LOST_AT + OutageRule.SEARCH_NANOSECONDS - 1)).isTrue();
		assertThat(OutageRule.waits(LOST_AT, true, false, LOST_AT + OutageRule.SEARCH_NANOSECONDS)).isFalse();
	}

	/**
	 * Guards against refusals in the moment before a late successor leads.
	 */
	@Test
	void workWaitsForAnOrderedSuccessor() {
		assertThat(OutageRule.waits(LOST_AT, false, true, LOST_AT + 2 * OutageRule.REPLACEMENT_NANOSECONDS)).isTrue();
	}

}
