package org.magnolialead.daemon.filter;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.magnolialead.api.Rank;

class AdmissionControlTests {

	private static final int LIMIT = 100;

	private static final long SEED = 5_150;

	private final AdmissionControl admission = new AdmissionControl(LIMIT);

	/**
	 * Guards against a flood of low-rank requests that blocks urgent requests.
	 */
	@Test
	void lowerRanksAreRejectedFirst() {
		int browsing = acquireAll(Rank.BROWSING);
		int standard = acquireAll(Rank.STANDARD);
		int urgent = acquireAll(Rank.URGENT);
		TestChecks.checkTrue(browsing < LIMIT / 2, () -> "browsing requests acquired " + browsing);
		TestChecks.checkTrue(standard > 0, () -> "no permit for standard requests");
		TestChecks.checkTrue(urgent >= LIMIT / 4, () -> "urgent requests acquired only " + urgent);
		TestChecks.checkEquals(LIMIT, browsing + standard + urgent);
	}

	/**
	 * Guards against a flood of urgent requests that blocks the lower ranks.
	 */
	@Test
	void urgentFloodLeavesPermitsToLowerRanks() {
		acquireAll(Rank.URGENT);
		TestChecks.checkEquals(10, acquireAll(Rank.STANDARD));
		TestChecks.checkEquals(5, acquireAll(Rank.BROWSING));
	}

	/**
	 * Guards against lost updates of the permit counts, by which permits leak or more of
	 * them than the limit are granted.
	 */
	@Test
	void permitCountsAreExactUnderConcurrentUse() throws Exception {
		System.out.println("seed " + SEED);
		AtomicInteger inProgress = new AtomicInteger();
		AtomicInteger maximumInProgress = new AtomicInteger();
		ExecutorService executor = Executors.newFixedThreadPool(8);
		List<Future<?>> running = new ArrayList<>();
		for (int client = 0; client < 8; client++) {
			Random random = new Random(SEED + client);
			running.add(executor.submit(() -> acquireAndReleaseRandomly(random, inProgress, maximumInProgress)));
		}
		for (Future<?> client : running) {
			client.get();
		}
		executor.shutdown();
		TestChecks.checkTrue(maximumInProgress.get() <= LIMIT, () -> maximumInProgress + " requests in progress");
		for (Rank rank : Rank.values()) {
			TestChecks.checkEquals(0, this.admission.inProgress(rank));
		}
	}

	private void acquireAndReleaseRandomly(Random random, AtomicInteger inProgress, AtomicInteger maximumInProgress) {
		List<Rank> acquired = new ArrayList<>();
		for (int round = 0; round < 20_000; round++) {
			Rank rank = Rank.values()[random.nextInt(Rank.values().length)];
			if (random.nextInt(100) < 55 && this.admission.tryAcquire(rank)) {
				maximumInProgress.accumulateAndGet(inProgress.incrementAndGet(), Math::max);
				acquired.add(rank);
			}
			else if (!acquired.isEmpty()) {
				inProgress.decrementAndGet();
				this.admission.release(acquired.remove(random.nextInt(acquired.size())));
			}
		}
		for (Rank rank : acquired) {
			inProgress.decrementAndGet();
			this.admission.release(rank);
		}
	}

	private int acquireAll(Rank rank) {
		int count = 0;
		while (this.admission.tryAcquire(rank)) {
			count++;
		}
		return count;
	}

}
