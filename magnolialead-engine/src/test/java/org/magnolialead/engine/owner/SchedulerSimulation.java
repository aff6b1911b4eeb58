package org.magnolialead.engine.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.magnolialead.api.Rank;

/**
 * Discrete-event simulation of a scheduler with a primary and two replicas of two slots
 * each. Writes need the primary; reads prefer the replicas.
 */
final class SchedulerSimulation {

	static final long MILLISECOND = 1_000_000L;

	static final long TIMEOUT_NANOSECONDS = 500 * MILLISECOND;

	static final SchedulerSettings SETTINGS = new SchedulerSettings(Map.of(Rank.STANDARD, 0.15, Rank.BROWSING, 0.10),
			512);

	static final List<Load> ORDINARY_LOAD = List.of(new Load(Rank.URGENT, true, 100), new Load(Rank.URGENT, false, 100),
			new Load(Rank.STANDARD, true, 40), new Load(Rank.STANDARD, false, 80), new Load(Rank.BROWSING, false, 300));

	private static final double SERVICE_NANOSECONDS = 5.0 * MILLISECOND;

	private final GroupScheduler<Work> scheduler;

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));

	private final List<Phase> phases = new ArrayList<>();

	private final MemberSelector writeSelector = (now) -> List.of("primary");

	private MemberSelector readSelector = (now) -> List.of("replica1", "replica2", "primary");

	private long now;

	private long nextSequence;

	SchedulerSimulation(SchedulingPolicy policy, long seed) {
		this.scheduler = new GroupScheduler<>(policy, SETTINGS);
		this.random = new Random(seed);
		this.scheduler.capacity(Map.of("primary", 2, "replica1", 2, "replica2", 2));
	}

	static List<Load> tenfold(Rank rank) {
		return ORDINARY_LOAD.stream()
			.map((load) -> (load.rank() == rank) ? new Load(rank, load.write(), load.perSecond() * 10) : load)
			.toList();
	}

	SchedulerSimulation readSelector(MemberSelector selector) {
		this.readSelector = selector;
		return this;
	}

	GroupScheduler<Work> scheduler() {
		return this.scheduler;
	}

	long now() {
		return this.now;
	}

	void every(long interval, Runnable action) {
		schedule(this.now + interval, () -> {
			action.run();
			every(interval, action);
		});
	}

	Phase run(List<Load> loads, long milliseconds) {
		Phase phase = new Phase(this.now + milliseconds * MILLISECOND);
		this.phases.add(phase);
		loads.forEach((load) -> scheduleArrival(load, phase));
		while (!this.events.isEmpty() && this.events.peek().time() - phase.end <= 0) {
			Event event = this.events.poll();
			this.now = event.time();
			event.action().run();
			dispatchWork();
		}
		this.now = phase.end;
		return phase;
	}

	private void scheduleArrival(Load load, Phase phase) {
		long delay = (long) (-Math.log(1 - this.random.nextDouble()) * 1_000 * MILLISECOND / load.perSecond());
		if (this.now + delay - phase.end >= 0) {
			return;
		}
		schedule(this.now + delay, () -> {
			Work work = new Work(load, this.now + TIMEOUT_NANOSECONDS, phase);
			phase.count(phase.offered, load.rank());
			MemberSelector selector = load.write() ? this.writeSelector : this.readSelector;
			this.scheduler.offer(new WorkItem<>(work, load.rank(), this.now, work.deadline(), selector), this.now);
			scheduleArrival(load, phase);
		});
	}

	private void dispatchWork() {
		this.scheduler.removeExpired(this.now);
		for (Dispatch<Work> dispatch : this.scheduler.dispatch(this.now)) {
			Work work = dispatch.work();
			if (work.deadline() - this.now <= 0) {
				throw new AssertionError("an item was dispatched after its deadline");
			}
			long service = (long) (SERVICE_NANOSECONDS * (0.5 - 0.5 * Math.log(1 - this.random.nextDouble())));
			schedule(this.now + service, () -> finish(dispatch, service));
		}
	}

	private void finish(Dispatch<Work> dispatch, long service) {
		this.scheduler.finished(dispatch, this.now);
		Work work = dispatch.work();
		Phase running = this.phases.get(this.phases.size() - 1);
		running.slotTime.merge(work.load().rank(), service, Long::sum);
		running.lateSlotTime += (work.deadline() - this.now < 0) ? service : 0;
		if (work.deadline() - this.now >= 0) {
			work.phase().count(work.phase().served, work.load().rank());
			if (!dispatch.member().equals("primary")) {
				work.phase().count(work.phase().servedByReplica, work.load().rank());
			}
		}
	}

	private void schedule(long time, Runnable action) {
		this.events.add(new Event(time, this.nextSequence++, action));
	}

	record Load(Rank rank, boolean write, double perSecond) {
	}

	record Work(Load load, long deadline, Phase phase) {
	}

	private record Event(long time, long sequence, Runnable action) {
	}

	/** Counts of requests by the phase of their arrival. */
	static final class Phase {

		private final long end;

		private final Map<Rank, Integer> offered = new EnumMap<>(Rank.class);

		private final Map<Rank, Integer> served = new EnumMap<>(Rank.class);

		private final Map<Rank, Integer> servedByReplica = new EnumMap<>(Rank.class);

		private final Map<Rank, Long> slotTime = new EnumMap<>(Rank.class);

		private long lateSlotTime;

		Phase(long end) {
			this.end = end;
		}

		private void count(Map<Rank, Integer> counts, Rank rank) {
			counts.merge(rank, 1, Integer::sum);
		}

		double servedShare(Rank rank) {
			return (double) this.served.getOrDefault(rank, 0) / this.offered.getOrDefault(rank, 1);
		}

		double replicaShare(Rank rank) {
			return (double) this.servedByReplica.getOrDefault(rank, 0) / this.served.getOrDefault(rank, 1);
		}

		double slotShare(Rank rank) {
			return this.slotTime.getOrDefault(rank, 0L) / allSlotTime();
		}

		/** Share of slot time used by statements that finished after their deadline. */
		double lateShare() {
			return this.lateSlotTime / allSlotTime();
		}

		private double allSlotTime() {
			return this.slotTime.values().stream().mapToLong(Long::longValue).sum();
		}

	}

}
