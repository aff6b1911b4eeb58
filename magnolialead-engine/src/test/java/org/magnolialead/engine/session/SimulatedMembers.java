package org.magnolialead.engine.session;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Reads of several daemons at the members of one group, without a network. Each daemon
 * chooses a member by a policy and sees only its own statements.
 */
final class SimulatedMembers {

	private static final double MILLISECOND = 1_000_000;

	private static final double TARGET_MILLISECONDS = 250;

	private static final int SLOTS = 5;

	/** Work of the three priorities of the target deployment, in milliseconds. */
	private static final double[] WORK = { 8, 24, 40 };

	/** Policy value that stands for the choice by smoothed time only, without limits. */
	static final int NO_LIMIT = 0;

	/** Policy value that stands for learned limits. */
	static final int LEARNED = -1;

	/** Policy value that stands for the choice by time and statements in flight only. */
	static final int CHOICE_ONLY = -2;

	/** Policy value that stands for learned limits beyond which reads wait. */
	static final int WAITING = -3;

	private final Scenario scenario;

	private final int policy;

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::time).thenComparingLong(Event::order));

	private final Member[] members;

	private final Daemon[] daemons;

	private final List<Double> latencies = new ArrayList<>();

	private long now;

	private long order;

	SimulatedMembers(Scenario scenario, int policy, long seed) {
		this.scenario = scenario;
		this.policy = policy;
		this.random = new Random(seed);
		this.members = new Member[scenario.members];
		this.daemons = new Daemon[scenario.daemons];
		for (int index = 0; index < this.members.length; index++) {
			this.members[index] = new Member(index);
		}
		for (int index = 0; index < this.daemons.length; index++) {
			this.daemons[index] = new Daemon();
		}
	}

	/** Runs the scenario to its end. */
	Result run() {
		schedule(0, this::arrive);
		while (!this.events.isEmpty()) {
			Event event = this.events.remove();
			this.now = event.time;
			event.task.run();
		}
		Collections.sort(this.latencies);
		double mean = this.latencies.stream().mapToDouble(Double::doubleValue).average().orElse(0);
		long inTime = this.latencies.stream().filter((latency) -> latency <= TARGET_MILLISECONDS).count();
		return new Result(mean, this.latencies.get((int) (this.latencies.size() * 0.99)),
				100.0 * inTime / this.latencies.size());
	}

	private void schedule(double milliseconds, Runnable task) {
		this.order++;
		this.events.add(new Event(this.now + (long) (milliseconds * MILLISECOND), this.order, task));
	}

	private double seconds() {
		return this.now / MILLISECOND / 1_000;
	}

	private void arrive() {
		if (seconds() >= this.scenario.seconds) {
			return;
		}
		double draw = this.random.nextDouble();
		int rank = (draw < 0.14) ? 0 : (draw < 0.77) ? 1 : 2;
		boolean isLong = this.random.nextDouble() < this.scenario.longShare;
		double work = isLong ? 600 : WORK[rank] * (0.6 + 0.8 * this.random.nextDouble());
		Daemon daemon = this.daemons[this.random.nextInt(this.daemons.length)];
		daemon.waiting.add(new Read(daemon, rank, work, this.now));
		daemon.dispatch();
		double rate = this.scenario.ratePerSecond * this.scenario.rateFactor.at(seconds(), 0);
		schedule(-Math.log(1 - this.random.nextDouble()) * 1_000 / rate, this::arrive);
	}

	/**
	 * Multiple of a quantity at a time, in seconds, and a number of running statements.
	 */
	interface Factor {

		double at(double seconds, int running);

	}

	record Result(double meanMilliseconds, double p99Milliseconds, double percentInTime) {

		@Override
		public String toString() {
			return "%.1f / %.0f / %.2f".formatted(this.meanMilliseconds, this.p99Milliseconds, this.percentInTime);
		}

	}

	/**
	 * Scenario; {@code failing} applies to member 0 only, and so does {@code slowness}
	 * unless {@code allSlow} is set.
	 */
	record Scenario(String name, int members, int daemons, int connections, double ratePerSecond, double seconds,
			Factor slowness, boolean allSlow, double failing, double longShare, Factor rateFactor) {
	}

	private record Event(long time, long order, Runnable task) {
	}

	private record Read(Daemon daemon, int rank, double work, long arrivedAt) {
	}

	private final class Member {

		private final int index;

		private final Deque<Runnable> queue = new ArrayDeque<>();

		private int running;

		private Member(int index) {
			this.index = index;
		}

		private void submit(Runnable start) {
			this.queue.add(start);
			startNext();
		}

		private void startNext() {
			while (this.running < SLOTS && !this.queue.isEmpty()) {
				this.running++;
				this.queue.remove().run();
			}
		}

		private void run(Read read, long sentAt) {
			boolean fails = this.index == 0
					&& SimulatedMembers.this.random.nextDouble() < SimulatedMembers.this.scenario.failing;
			double factor = (this.index == 0 || SimulatedMembers.this.scenario.allSlow)
					? SimulatedMembers.this.scenario.slowness.at(seconds(), this.running) : 1;
			schedule(fails ? 2 : read.work * factor, () -> {
				this.running--;
				startNext();
				read.daemon.answered(read, this.index, fails, sentAt);
			});
		}

	}

	private final class Daemon {

		private final Deque<Read> waiting = new ArrayDeque<>();

		private final ConcurrencyLimit[] limits = new ConcurrencyLimit[SimulatedMembers.this.members.length];

		private final FailureShare[] failures = new FailureShare[SimulatedMembers.this.members.length];

		private final double[] smoothed = new double[SimulatedMembers.this.members.length];

		private final int[] inFlight = new int[SimulatedMembers.this.members.length];

		private Daemon() {
			for (int index = 0; index < this.limits.length; index++) {
				this.limits[index] = new ConcurrencyLimit(0);
				this.failures[index] = new FailureShare(0);
				this.smoothed[index] = 10 * MILLISECOND;
			}
		}

		private boolean isAtLimit(int member) {
			return switch (SimulatedMembers.this.policy) {
				case NO_LIMIT, CHOICE_ONLY -> false;
				case LEARNED, WAITING -> this.inFlight[member] >= this.limits[member].value(SimulatedMembers.this.now);
				default -> this.inFlight[member] >= SimulatedMembers.this.policy;
			};
		}

		private double expected(int member, int rank) {
			double alone = (SimulatedMembers.this.policy < 0)
					? this.limits[member].expectedNanoseconds(this.inFlight[member], SimulatedMembers.this.now)
					: this.smoothed[member];
			double expected = this.failures[member].expectedNanoseconds((long) alone, SimulatedMembers.this.now);
			return isAtLimit(member) ? expected + 1e15 : expected;
		}

		private void dispatch() {
			while (!this.waiting.isEmpty()) {
				Read read = this.waiting.peek();
				int best = -1;
				for (int index = 0; index < this.inFlight.length; index++) {
					boolean free = this.inFlight[index] < SimulatedMembers.this.scenario.connections;
					if (free && (best < 0 || expected(index, read.rank) < expected(best, read.rank))) {
						best = index;
					}
				}
				if (best < 0 || SimulatedMembers.this.policy == WAITING && isAtLimit(best)) {
					return;
				}
				this.waiting.remove();
				send(read, best);
			}
		}

		private void send(Read read, int member) {
			long sentAt = SimulatedMembers.this.now;
			this.inFlight[member]++;
			this.limits[member].started(this.inFlight[member], sentAt);
			Member target = SimulatedMembers.this.members[member];
			schedule(0.5, () -> target.submit(() -> target.run(read, sentAt)));
		}

		private void answered(Read read, int member, boolean failed, long sentAt) {
			long duration = SimulatedMembers.this.now - sentAt;
			this.inFlight[member]--;
			this.failures[member].record(failed, SimulatedMembers.this.now);
			this.smoothed[member] += (duration - this.smoothed[member]) / 8;
			if (failed) {
				this.waiting.addFirst(read);
			}
			else {
				this.limits[member].answered(read.rank, duration, SimulatedMembers.this.now);
				SimulatedMembers.this.latencies.add((SimulatedMembers.this.now - read.arrivedAt) / MILLISECOND);
			}
			dispatch();
		}

	}

}
