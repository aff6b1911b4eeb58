package org.magnolialead.engine.session;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link OverloadBackoff}.
 */
class OverloadBackoffTests {

	private static final long MILLISECOND = 1_000_000L;

	private static final int DAEMONS = 10;

	private static final int SLOTS = 2;

	private static final int QUEUE_LIMIT = 16;

	private static final long RUN_MILLISECONDS = 20_000;

	/** Time after which a waiting job is dropped because its client gives up. */
	private static final long CLIENT_TIMEOUT_MILLISECONDS = 480;

	/**
	 * Guards against backoff for a member that has not refused work.
	 */
	@Test
	void noBackoffWithoutARefusal() {
		OverloadBackoff backoff = new OverloadBackoff();
		assertThat(backoff.permits(2, 0)).isTrue();
	}

	/**
	 * Guards against browsing work that takes the queue entries for which urgent work
	 * waits.
	 */
	@Test
	void urgentWorkIsRetriedFirst() {
		OverloadBackoff backoff = new OverloadBackoff();
		backoff.refused(0);
		assertThat(backoff.permits(0, 4 * MILLISECOND)).isTrue();
		assertThat(backoff.permits(1, 4 * MILLISECOND)).isFalse();
		assertThat(backoff.permits(1, 16 * MILLISECOND)).isTrue();
		assertThat(backoff.permits(2, 16 * MILLISECOND)).isFalse();
		assertThat(backoff.permits(2, 64 * MILLISECOND)).isTrue();
	}

	/**
	 * Guards against starvation of a rank during a flood of more urgent work.
	 */
	@Test
	void lowRankKeepsMinimumRate() {
		OverloadBackoff backoff = new OverloadBackoff();
		for (long now = 0; now <= OverloadBackoff.MAXIMUM_WAIT_NANOSECONDS; now += MILLISECOND) {
			backoff.refused(now);
		}
		assertThat(backoff.permits(2, OverloadBackoff.MAXIMUM_WAIT_NANOSECONDS)).isTrue();
		backoff.sent(2, OverloadBackoff.MAXIMUM_WAIT_NANOSECONDS);
		assertThat(backoff.permits(2, OverloadBackoff.MAXIMUM_WAIT_NANOSECONDS + MILLISECOND)).isFalse();
	}

	/**
	 * Simulates a flood of browsing work for the only member that serves a group: more
	 * work than its two slots can process, from ten daemons without coordination. Guards
	 * against urgent work that is refused as often as browsing work, as happens with
	 * retries after a constant 15 ms.
	 */
	@Test
	void urgentWorkIsServedInBrowsingFlood() {
		double[] served = simulate(true);
		double[] baseline = simulate(false);
		System.out.printf("served by rank, with backoff %.3f %.3f %.3f, with a constant retry delay %.3f %.3f %.3f%n",
				served[0], served[1], served[2], baseline[0], baseline[1], baseline[2]);
		assertThat(served[0]).as("urgent").isGreaterThan(0.97).isGreaterThan(baseline[0]);
		assertThat(served[1]).as("standard").isGreaterThan(baseline[1]);
		assertThat(served[2]).as("browsing keeps a minimum rate").isGreaterThan(0.02);
	}

	// Returns the share of jobs of each rank that ran before the client timeout.
	private static double[] simulate(boolean withBackoff) {
		Random random = new Random(20261204);
		Member member = new Member();
		List<List<Job>> waiting = new ArrayList<>();
		OverloadBackoff[] backoffs = new OverloadBackoff[DAEMONS];
		for (int daemon = 0; daemon < DAEMONS; daemon++) {
			waiting.add(new ArrayList<>());
			backoffs[daemon] = new OverloadBackoff();
		}
		int[] offered = new int[3];
		for (long now = 0; now < RUN_MILLISECONDS; now++) {
			member.run(now);
			for (int rank = 0; rank < 3; rank++) {
				// 20, 90 and 110 jobs per second of 4, 10 and 22 ms occupy 3.4 slots; the
				// member has two.
				double perMillisecond = new double[] { 0.02, 0.09, 0.11 }[rank];
				if (random.nextDouble() < perMillisecond) {
					offered[rank]++;
					waiting.get(random.nextInt(DAEMONS)).add(new Job(rank, new int[] { 4, 10, 22 }[rank], now, now));
				}
			}
			for (int step = 0; step < DAEMONS; step++) {
				int daemon = (int) ((now + step) % DAEMONS);
				offer(waiting.get(daemon), backoffs[daemon], member, now, withBackoff);
			}
		}
		double[] shares = new double[3];
		for (int rank = 0; rank < 3; rank++) {
			shares[rank] = member.served[rank] / (double) offered[rank];
		}
		return shares;
	}

	private static void offer(List<Job> jobs, OverloadBackoff backoff, Member member, long now, boolean withBackoff) {
		jobs.removeIf((job) -> now - job.arrivedAt >= CLIENT_TIMEOUT_MILLISECONDS);
		jobs.sort((one, other) -> Integer.compare(one.rank, other.rank));
		for (Job job : List.copyOf(jobs)) {
			boolean permitted = withBackoff ? backoff.permits(job.rank, now * MILLISECOND) : now >= job.notBefore;
			if (!permitted) {
				continue;
			}
			jobs.remove(job);
			backoff.sent(job.rank, now * MILLISECOND);
			if (!member.accept(job)) {
				backoff.refused(now * MILLISECOND);
				jobs.add(new Job(job.rank, job.durationMilliseconds, job.arrivedAt, now + 15));
			}
		}
	}

	private record Job(int rank, int durationMilliseconds, long arrivedAt, long notBefore) {
	}

	private static final class Member {

		private final Deque<Job> queue = new ArrayDeque<>();

		private final long[] freeAt = new long[SLOTS];

		private final int[] served = new int[3];

		boolean accept(Job job) {
			if (this.queue.size() >= QUEUE_LIMIT) {
				return false;
			}
			this.queue.add(job);
			return true;
		}

		void run(long now) {
			for (int slot = 0; slot < SLOTS; slot++) {
				if (this.freeAt[slot] <= now && !this.queue.isEmpty()) {
					Job job = this.queue.poll();
					this.freeAt[slot] = now + job.durationMilliseconds;
					this.served[job.rank]++;
				}
			}
		}

	}

}
