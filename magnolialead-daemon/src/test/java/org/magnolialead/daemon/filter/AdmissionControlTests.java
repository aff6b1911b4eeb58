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
	 * Guards against a flood of little urgency that shuts out urgent work.
	 */
	@Test
	void lowerRanksAreRefusedFirst() {
		int browsing = fill(Rank.BROWSING);
		int standard = fill(Rank.STANDARD);
		int urgent = fill(Rank.URGENT);
		TestChecks.checkTrue(browsing < LIMIT / 2, () -> "browsing took " + browsing);
		TestChecks.checkTrue(standard > 0, () -> "no place for standard work");
		TestChecks.checkTrue(urgent >= LIMIT / 4, () -> "urgent work got only " + urgent);
		TestChecks.checkEquals(LIMIT, browsing + standard + urgent);
	}

	/**
	 * Guards against a flood of urgent work that shuts out the lower ranks.
	 */
	@Test
	void urgentFloodLeavesPlacesToLowerRanks() {
		fill(Rank.URGENT);
		TestChecks.checkEquals(10, fill(Rank.STANDARD));
		TestChecks.checkEquals(5, fill(Rank.BROWSING));
	}

	/**
	 * Guards against places that are lost or given twice under concurrent use.
	 */
	@Test
	void placesAreExactUnderConcurrentUse() throws Exception {
		System.out.println("seed " + SEED);
		AtomicInteger inProgress = new AtomicInteger();
		AtomicInteger most = new AtomicInteger();
		ExecutorService users = Executors.newFixedThreadPool(8);
		List<Future<?>> running = new ArrayList<>();
		for (int user = 0; user < 8; user++) {
			Random random = new Random(SEED + user);
			running.add(users.submit(() -> useRandomly(random, inProgress, most)));
		}
		for (Future<?> user : running) {
			user.get();
		}
		users.shutdown();
		TestChecks.checkTrue(most.get() <= LIMIT, () -> most + " in progress");
		for (Rank rank : Rank.values()) {
			TestChecks.checkEquals(0, this.admission.inProgress(rank));
		}
	}

	private void useRandomly(Random random, AtomicInteger inProgress, AtomicInteger most) {
		List<Rank> taken = new ArrayList<>();
		for (int round = 0; round < 20_000; round++) {
			Rank rank = Rank.values()[random.nextInt(Rank.values().length)];
			if (random.nextInt(100) < 55 && this.admission.tryAcquire(rank)) {
				most.accumulateAndGet(inProgress.incrementAndGet(), Math::max);
				taken.add(rank);
			}
			else if (!taken.isEmpty()) {
				inProgress.decrementAndGet();
				this.admission.release(taken.remove(random.nextInt(taken.size())));
			}
		}
		for (Rank rank : taken) {
			inProgress.decrementAndGet();
			this.admission.release(rank);
		}
	}

	private int fill(Rank rank) {
		int count = 0;
		while (this.admission.tryAcquire(rank)) {
			count++;
		}
		return count;
	}

}
