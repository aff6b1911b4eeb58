package org.magnolialead.engine.session;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Work sent to a member whose queue is full.
 */
class OverloadBackoffTests {

	private static final long MILLISECOND = 1_000_000L;

	private static final int DAEMONS = 10;

	private static final int SLOTS = 2;

	private static final int QUEUE = 16;

	private static final long RUN_MILLISECONDS = 20_000;

	/** Time for which work waits before its client is told to come back. */
	private static final long CLIENT_TIMEOUT_MILLISECONDS = 480;

	/**
	 * Guards against pauses for work of a member that refuses none.
	 */
	@Test
	void nothingPausesWithoutARefusal() {
		OverloadBackoff backoff = new OverloadBackoff();
		assertThat(backoff.permits(2, 0)).isTrue();
	}

	/**
	 * Guards against browsing that takes the places which urgent work waits for.
	 */
	@Test
	void urgentWorkIsTriedFirst() {
		OverloadBackoff backoff = new OverloadBackoff();
		backoff.refused(0);
		assertThat(backoff.permits(0, 4 * MILLISECOND)).isTrue();
		assertThat(backoff.permits(1, 4 * MILLISECOND)).isFalse();
		assertThat(backoff.permits(1, 16 * MILLISECOND)).isTrue();
		assertThat(backoff.permits(2, 16 * MILLISECOND)).isFalse();
		assertThat(backoff.permits(2, 64 * MILLISECOND)).isTrue();
	}

	/**
	 * Guards against a rank that gets nothing while a more urgent one floods in.
	 */
	@Test
	void lowRankKeepsAFloor() {
		OverloadBackoff backoff = new OverloadBackoff();
		for (long now = 0; now <= OverloadBackoff.MAXIMUM_WAIT_NANOSECONDS; now += MILLISECOND) {
			backoff.refused(now);
		}
		assertThat(backoff.permits(2, OverloadBackoff.MAXIMUM_WAIT_NANOSECONDS)).isTrue();
		backoff.sent(2, OverloadBackoff.MAXIMUM_WAIT_NANOSECONDS);
		assertThat(backoff.permits(2, OverloadBackoff.MAXIMUM_WAIT_NANOSECONDS + MILLISECOND)).isFalse();
	}

	/**
	 * Plays the load of a primary that alone serves its group in a flood of browsing:
	 * twice as much work as two slots can do, from ten daemons that know nothing of each
	 * other. Guards against urgent work that is refused as often as browsing, which is
	 * what a plain retry after 15 ms gives.
	 */
	@Test
	void floodOfBrowsingLeavesUrgentWorkServed() {
		double[] served = simulate(true);
		double[] baseline = simulate(false);
		System.out.printf("served by rank, with pauses %.3f %.3f %.3f, with a plain retry %.3f %.3f %.3f%n", served[0],
				served[1], served[2], baseline[0], baseline[1], baseline[2]);
		assertThat(served[0]).as("urgent").isGreaterThan(0.97).isGreaterThan(baseline[0]);
		assertThat(served[1]).as("standard").isGreaterThan(baseline[1]);
		assertThat(served[2]).as("browsing keeps a floor").isGreaterThan(0.02);
	}

	// Returns the share of the work of each rank that ran within its patience.
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
				// 20, 90 and 110 a second of 4, 10 and 22 ms: 3.4 slots of work for two.
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
				jobs.add(new Job(job.rank, job.work, job.arrivedAt, now + 15));
			}
		}
	}

	private record Job(int rank, int work, long arrivedAt, long notBefore) {
	}

	private static final class Member {

		private final Deque<Job> queue = new ArrayDeque<>();

		private final long[] freeAt = new long[SLOTS];

		private final int[] served = new int[3];

		boolean accept(Job job) {
			if (this.queue.size() >= QUEUE) {
				return false;
			}
			this.queue.add(job);
			return true;
		}

		void run(long now) {
			for (int slot = 0; slot < SLOTS; slot++) {
				if (this.freeAt[slot] <= now && !this.queue.isEmpty()) {
					Job job = this.queue.poll();
					this.freeAt[slot] = now + job.work;
					this.served[job.rank]++;
				}
			}
		}

	}

}
