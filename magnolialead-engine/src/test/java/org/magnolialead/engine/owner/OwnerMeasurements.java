package org.magnolialead.engine.owner;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.MemberRole;
import org.magnolialead.api.MemberStatus;
import org.magnolialead.api.Profile;
import org.magnolialead.api.Rank;
import org.magnolialead.engine.owner.SchedulerSimulation.Load;
import org.magnolialead.engine.owner.SchedulerSimulation.Phase;

/**
 * Prints measurements of the owner's decisions in comparison with their baselines.
 */
public final class OwnerMeasurements {

	private static final long SEED = 20_240_611L;

	private static final long MILLISECOND = SchedulerSimulation.MILLISECOND;

	private static final int COST_OPERATIONS = 200_000;

	private OwnerMeasurements() {
	}

	public static void main(String[] arguments) {
		System.out.printf("seed %d%n", SEED);
		for (Rank flooded : List.of(Rank.BROWSING, Rank.URGENT)) {
			for (SchedulingPolicy policy : SchedulingPolicy.values()) {
				printFlood(flooded, policy);
			}
		}
		for (long lag : List.of(5L, 50L, 500L)) {
			for (ReadPolicy policy : ReadPolicy.values()) {
				System.out.printf(
						"lag %3d ms  %-14s browsing reads by replicas %.1f%% at 52%% load, %.1f%% at 26%% load%n", lag,
						policy, 100 * replicaShare(policy, lag, 1), 100 * replicaShare(policy, lag, 0.5));
			}
		}
		for (int waiting : List.of(0, 1_000, 10_000)) {
			printCost(waiting);
		}
	}

	private static void printFlood(Rank flooded, SchedulingPolicy policy) {
		SchedulerSimulation simulation = new SchedulerSimulation(policy, SEED);
		simulation.run(SchedulerSimulation.ORDINARY_LOAD, 2_000);
		Phase flood = simulation.run(SchedulerSimulation.tenfold(flooded), 10_000);
		Phase after = simulation.run(SchedulerSimulation.ORDINARY_LOAD, 1_000);
		simulation.run(SchedulerSimulation.ORDINARY_LOAD, 1_000);
		for (Rank rank : Rank.values()) {
			System.out.printf(
					"flood of %-8s %-11s %-8s within deadline %5.1f%%  slot time %4.1f%%  first second after %5.1f%%%n",
					flooded, policy, rank, 100 * flood.servedShare(rank), 100 * flood.slotShare(rank),
					100 * after.servedShare(rank));
		}
	}

	/** One tenth of the browsing reads belong to sessions that wrote 100 ms earlier. */
	private static double replicaShare(ReadPolicy policy, long lagMilliseconds, double factor) {
		Random random = new Random(SEED);
		GroupView view = view();
		MemberPositions positions = new MemberPositions(policy);
		Profile browsing = FleetConfiguration.initial().profiles().get("browsing");
		SchedulerSimulation simulation = new SchedulerSimulation(SchedulingPolicy.RANK_FLOORS, SEED);
		simulation.readSelector((now) -> {
			boolean wrote = Math.floorMod(now / MILLISECOND, 10) == 0;
			LogPosition required = wrote ? positionAt(now - 100 * MILLISECOND) : LogPosition.NONE;
			return positions.eligibleForRead(browsing, required, true, view, now, simulation.scheduler()::running);
		});
		simulation.every(100 * MILLISECOND, () -> {
			long now = simulation.now();
			for (String member : view.members().keySet()) {
				boolean primary = member.equals("primary");
				long lag = primary ? 0 : (long) (lagMilliseconds * MILLISECOND * (0.5 + random.nextDouble()));
				MemberRole role = primary ? MemberRole.PRIMARY : MemberRole.REPLICA;
				positions.statusAnswered(new MemberStatus("group", member, role, 1, positionAt(now - lag)),
						now - MILLISECOND, now, view);
			}
		});
		List<Load> loads = SchedulerSimulation.ORDINARY_LOAD.stream()
			.map((load) -> new Load(load.rank(), load.write(), load.perSecond() * factor))
			.toList();
		simulation.run(loads, 2_000);
		return simulation.run(loads, 20_000).replicaShare(Rank.BROWSING);
	}

	private static LogPosition positionAt(long time) {
		return new LogPosition(1, Math.max(0, time / (5 * MILLISECOND)));
	}

	static GroupView view() {
		return new GroupView("group", 1, 1, "primary", 1, "", "daemon", 1,
				Map.of("primary", member("primary"), "replica1", member("replica1"), "replica2", member("replica2")));
	}

	private static MemberDescription member(String name) {
		return new MemberDescription("group", name, "127.0.0.1:1", "zone", 2, 20, false);
	}

	private static void printCost(int waiting) {
		SchedulerSettings settings = new SchedulerSettings(SchedulerSimulation.SETTINGS.rankFloors(), 100_000);
		GroupScheduler<Object> scheduler = new GroupScheduler<>(SchedulingPolicy.RANK_FLOORS, settings);
		MemberSelector reads = (now) -> List.of("replica1", "replica2", "primary");
		MemberSelector writes = (now) -> List.of("primary");
		Random random = new Random(SEED);
		Deque<Dispatch<Object>> running = new ArrayDeque<>();
		scheduler.capacity(Map.of("primary", 2, "replica1", 2, "replica2", 2));
		long now = 0;
		for (int i = 0; i < waiting; i++) {
			scheduler.offer(item(i, now, reads, random), now);
		}
		List<Long> rounds = new ArrayList<>();
		for (int round = 0; round < 8; round++) {
			long started = System.nanoTime();
			for (int i = 0; i < COST_OPERATIONS; i++) {
				now += 1_000;
				scheduler.offer(item(i, now, (i % 5 == 0) ? writes : reads, random), now);
				running.addAll(scheduler.dispatch(now));
				scheduler.finished(running.poll(), now);
			}
			rounds.add((System.nanoTime() - started) / COST_OPERATIONS);
		}
		int stillWaiting = scheduler.waiting(Rank.URGENT) + scheduler.waiting(Rank.STANDARD)
				+ scheduler.waiting(Rank.BROWSING);
		System.out.printf("offer+dispatch+finished with %d waiting: %s ns by round%n", stillWaiting, rounds);
	}

	private static WorkItem<Object> item(int number, long now, MemberSelector selector, Random random) {
		Rank rank = Rank.values()[number % 3];
		long deadline = 1_000_000 * MILLISECOND + random.nextInt(1_000_000);
		return new WorkItem<>(new Object(), rank, now, deadline, selector);
	}

}
