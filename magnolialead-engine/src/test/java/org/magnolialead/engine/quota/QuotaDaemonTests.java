package org.magnolialead.engine.quota;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.magnolialead.api.RateLimit;
import org.magnolialead.api.message.QuotaDemand;
import org.magnolialead.api.message.QuotaGrant;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link DaemonQuota}.
 */
class QuotaDaemonTests {

	private static final long MILLISECOND = 1_000_000;

	private static final RateLimit LIMIT = new RateLimit(100, 100);

	private final DaemonQuota<String> quota = new DaemonQuota<>(0, (operation, decision) -> {
	});

	private QuotaDecision arrive(long milliseconds) {
		long now = milliseconds * MILLISECOND;
		return this.quota.arrived("a", LIMIT, "operation" + milliseconds, now + 400 * MILLISECOND, now);
	}

	private void grantThree() {
		assertThat(arrive(0)).isEqualTo(QuotaDecision.WAITING);
		assertThat(this.quota.nextRequest(0)).containsExactly(new QuotaDemand("a", 1, 0, 0));
		this.quota.answered(List.of(new QuotaGrant("a", 3, 0)), 5 * MILLISECOND);
	}

	/**
	 * Guards against tokens that are used, or a timer that runs, after 500 ms from the
	 * request: the leader counts on their return.
	 */
	@Test
	void tokenExpiresAndIsReported() {
		grantThree();
		assertThat(this.quota.nextDueAt(5 * MILLISECOND)).isEqualTo(500 * MILLISECOND);
		assertThat(arrive(499)).isEqualTo(QuotaDecision.ADMITTED);
		assertThat(arrive(500)).isEqualTo(QuotaDecision.WAITING);
		assertThat(this.quota.nextRequest(500 * MILLISECOND)).containsExactly(new QuotaDemand("a", 1, 0, 1));
		this.quota.answered(List.of(new QuotaGrant("a", 1, 0)), 505 * MILLISECOND);
		assertThat(this.quota.nextDueAt(505 * MILLISECOND)).isEqualTo(DaemonQuota.NEVER);
	}

	/**
	 * Guards against tokens that look valid after a suspension, because the monotonic
	 * clock stood still, also if the answer arrives only afterwards.
	 */
	@Test
	void suspensionDiscardsTokens() {
		grantThree();
		this.quota.suspended();
		assertThat(arrive(6)).isEqualTo(QuotaDecision.WAITING);
		assertThat(this.quota.nextRequest(6 * MILLISECOND)).hasSize(1);
		this.quota.suspended();
		this.quota.answered(List.of(new QuotaGrant("a", 3, 0)), 7 * MILLISECOND);
		assertThat(this.quota.waitingCount()).isEqualTo(1);
	}

}
