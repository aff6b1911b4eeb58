package org.magnolialead.engine.session;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against replies that are forgotten before they are repeated, and against a
 * history that grows without limit.
 */
class ReplyHistoryTests {

	private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	private final ReplyHistory history = new ReplyHistory();

	private void add(int number, long interval) {
		for (int reply = 1; reply <= number; reply++) {
			this.history.add(reply, reply * interval);
		}
	}

	@Test
	void repliesOfTheRetentionTimeAreKept() {
		int number = (int) (ReplyHistory.RETENTION_NANOSECONDS / MILLISECOND);
		add(number, MILLISECOND);
		for (int reply = 1; reply <= number; reply++) {
			assertThat(this.history.contains(reply)).as("reply %d", reply).isTrue();
		}
		assertThat(this.history.contains(0)).isFalse();
	}

	@Test
	void olderRepliesAreForgottenExceptTheLatest() {
		add(2 * ReplyHistory.MINIMUM_CAPACITY, ReplyHistory.RETENTION_NANOSECONDS);
		assertThat(this.history.contains(ReplyHistory.MINIMUM_CAPACITY)).isFalse();
		assertThat(this.history.contains(ReplyHistory.MINIMUM_CAPACITY + 1)).isTrue();
	}

	@Test
	void numberOfRepliesIsLimited() {
		add(2 * ReplyHistory.MAXIMUM_CAPACITY, 1);
		assertThat(this.history.contains(ReplyHistory.MAXIMUM_CAPACITY)).isFalse();
		assertThat(this.history.contains(ReplyHistory.MAXIMUM_CAPACITY + 1)).isTrue();
	}

	@Test
	void repetitionsRemainMarkedWhenTheHistoryGrows() {
		for (int reply = 1; reply <= ReplyHistory.MINIMUM_CAPACITY; reply++) {
			this.history.add(0, 0);
		}
		this.history.markRepetitions(0, 2);
		this.history.add(1, 0);
		assertThat(this.history.possibleRepetitions(0, true, 0)).isEqualTo(ReplyHistory.MINIMUM_CAPACITY - 4);
		assertThat(this.history.possibleRepetitions(1, true, 0)).isEqualTo(1);
	}

}
