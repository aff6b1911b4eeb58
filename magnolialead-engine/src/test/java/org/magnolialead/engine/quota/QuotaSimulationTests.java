package org.magnolialead.engine.quota;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.magnolialead.api.RateLimit;
import org.magnolialead.engine.quota.SimulatedQuotas.Load;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against operations beyond the rate limit of an account, and against rejections
 * below it, in a simulated fleet of 67 uneven daemons. The limit of the operations in 5 s
 * is that of docs/hard-load.md.
 */
class QuotaSimulationTests {

	private static final int DAEMONS = 67;

	private final SimulatedQuotas fleet = new SimulatedQuotas(DAEMONS, 1);

	// Typical usage of an account is 1/1.6 of its limit.
	private Load account(String name, double offered) {
		return this.fleet.account(name, offered * 1.6, Math.max(2, offered), offered);
	}

	private List<Load> accounts() {
		List<Load> loads = new ArrayList<>(
				List.of(account("large", 150), account("hot", 40), account("small", 2), account("tiny", 0.5)));
		loads.add(this.fleet.account("idle", 20, 100, 0));
		for (int index = 0; index < 20; index++) {
			loads.add(account("medium" + index, 10));
		}
		return loads;
	}

	private static void checkNoExcess(List<Load> loads) {
		assertThat(loads).allSatisfy((load) -> assertThat(load.excess()).as(load.name()).isZero());
	}

	/**
	 * Compares the tokens of the leader with the ways that were not chosen: a static
	 * share of each limit at each daemon, and no limit.
	 */
	@Test
	void fleetAdmitsWhatOneBucketWouldAdmit() {
		List<Load> loads = accounts();
		this.fleet.run(10);
		loads.get(1).offer(40 * 7.5);
		this.fleet.run(10);
		this.fleet.burst(loads.get(4), 150);
		this.fleet.run(10);
		int[] below = new int[2];
		double[] above = new double[3];
		for (Load load : loads) {
			RateLimit limit = load.limit();
			int ideal = SimulatedQuotas.ideal(load.offeredTimes(), limit).size();
			List<Long> inShares = load.admittedInShares(DAEMONS);
			below[0] += Math.max(0, ideal - load.admitted());
			below[1] += Math.max(0, ideal - inShares.size());
			above[0] += load.excess();
			above[1] += SimulatedQuotas.excess(inShares, limit);
			above[2] += SimulatedQuotas.excess(load.offeredTimes(), limit);
			assertThat(load.admitted()).as(load.name()).isGreaterThanOrEqualTo((int) (ideal * 0.95) - 2);
		}
		System.out.printf("quota simulation: rejected below the limit: tokens %d, static shares %d, no limit 0;"
				+ " most above the limit in 5 s: tokens %.0f, static shares %.0f, no limit %.0f; messages/s %d%n",
				below[0], below[1], above[0], above[1], above[2], this.fleet.messages() / 30);
		checkNoExcess(loads);
		assertThat(below[0] * 10).isLessThan(below[1]);
		assertThat(above[2]).isPositive();
	}

	/**
	 * Guards against a leader that grants again what its predecessor has granted. The
	 * accounts use their bursts immediately before and after the change.
	 */
	@Test
	void newLeaderDoesNotGrantTheBurstAgain() {
		Load load = this.fleet.account("bursty", 20, 300, 0);
		this.fleet.run(20);
		this.fleet.burst(load, 300);
		this.fleet.run(0.2);
		int before = load.admitted();
		this.fleet.newLeader();
		this.fleet.run(0.4);
		this.fleet.burst(load, 300);
		this.fleet.run(5);
		assertThat(before).isGreaterThanOrEqualTo(280);
		assertThat(load.excess()).isZero();
	}

	/**
	 * Guards against tokens that are used long after their request, in addition to those
	 * of a bucket that has filled up since.
	 */
	@Test
	void heldTokensDoNotAddToALaterBurst() {
		Load load = this.fleet.account("pausing", 400, 400, 1_200);
		this.fleet.run(3);
		load.offer(250);
		this.fleet.run(20);
		for (int cycle = 0; cycle < 5; cycle++) {
			load.offer(0);
			this.fleet.run(3);
			load.offer(4_000);
			this.fleet.run(6);
			load.offer(250);
			this.fleet.run(5);
		}
		assertThat(load.excess()).isZero();
	}

	/**
	 * Guards against daemons that stop serving while no leader answers, or that exceed
	 * the limit then.
	 */
	@Test
	void daemonsGoOnWithoutALeader() {
		List<Load> loads = accounts();
		this.fleet.run(10);
		int before = loads.get(0).admitted();
		this.fleet.leader(false);
		this.fleet.run(3);
		int without = loads.get(0).admitted() - before;
		assertThat(without).isBetween((int) (150 * 3 * 0.6), 150 * 3);
		this.fleet.newLeader();
		this.fleet.run(10);
		this.fleet.leader(false);
		this.fleet.run(11);
		int late = loads.get(0).admitted();
		this.fleet.run(3);
		assertThat(loads.get(0).admitted()).as("after 10 s without an answer").isEqualTo(late);
		checkNoExcess(loads);
	}

	/**
	 * Guards against daemons on both sides of a partition that use the whole limit, for
	 * an account that exceeds it on the side of the leader.
	 */
	@Test
	void partitionedDaemonsStayWithinTheLimit() {
		List<Load> loads = accounts();
		this.fleet.run(10);
		this.fleet.partition(20, 45, true);
		loads.get(0).offer(150 * 7.5);
		this.fleet.run(15);
		this.fleet.partition(20, 45, false);
		this.fleet.run(5);
		this.fleet.partition(0, 20, true);
		this.fleet.newLeader();
		this.fleet.run(15);
		checkNoExcess(loads);
	}

	/**
	 * Guards against lost answers and suspended daemons that multiply or block tokens.
	 */
	@Test
	void lostAnswersAndSuspensionsKeepTheLimit() {
		List<Load> loads = accounts();
		loads.get(1).offer(40 * 7.5);
		this.fleet.loseAnswers(0.02);
		for (int second = 0; second < 20; second++) {
			this.fleet.run(1);
			this.fleet.suspended(second);
		}
		checkNoExcess(loads);
		assertThat(loads.get(0).rejected()).isLessThan(loads.get(0).admitted() / 50);
	}

	/**
	 * Guards against a lowered limit that applies only after the bucket has been used up.
	 */
	@Test
	void loweredLimitAppliesImmediately() {
		Load load = this.fleet.account("lowered", 200, 1_000, 100);
		this.fleet.run(10);
		this.fleet.limit("lowered", 20, 10);
		long from = this.fleet.now() + 500 * SimulatedQuotas.MILLISECOND;
		load.offer(800);
		this.fleet.run(10);
		assertThat(load.excess(from)).isZero();
		assertThat(load.admittedSince(from)).isGreaterThanOrEqualTo(20 * 9);
	}

}
