package org.magnolialead.engine.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

import org.magnolialead.api.AccountTable;
import org.magnolialead.api.ClientAccount;
import org.magnolialead.api.RateLimit;
import org.magnolialead.api.message.QuotaDemand;
import org.magnolialead.api.message.QuotaGrant;
import org.magnolialead.api.message.QuotaRequest;

/**
 * Daemons and a control leader without a network: messages are events with a delay, which
 * a test can lose. The monotonic clock of a suspended daemon goes on, but it is told of
 * the suspension.
 */
final class SimulatedQuotas {

	static final long MILLISECOND = 1_000_000;

	static final long SECOND = 1_000_000_000;

	private static final long TIMEOUT = 300 * MILLISECOND;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Random random;

	private final List<Daemon> daemons = new ArrayList<>();

	private final Map<String, Load> loads = new TreeMap<>();

	private final double[] cumulativeShare;

	private final Map<String, ClientAccount> accounts = new HashMap<>();

	private AccountTable table = new AccountTable(Map.of());

	private QuotaAllocator leader = new QuotaAllocator(0, RateLimitTolerance.NONE);

	private boolean leaderUp = true;

	private double lostAnswers;

	private final BitSet unreachable = new BitSet();

	private long now;

	private long messages;

	SimulatedQuotas(int daemonCount, long seed) {
		this.random = new Random(seed);
		this.cumulativeShare = new double[daemonCount];
		double sum = 0;
		for (int index = 0; index < daemonCount; index++) {
			sum += (index < 6) ? 2.7 : 0.2 + this.random.nextDouble() * 1.6;
			this.cumulativeShare[index] = sum;
			this.daemons.add(new Daemon(index));
		}
		for (int index = 0; index < daemonCount; index++) {
			heartbeat(index);
		}
	}

	private void heartbeat(int index) {
		if (this.leaderUp && !this.unreachable.get(index)) {
			this.leader.heard("d" + index, "1", this.now);
		}
		at(this.now + 200 * MILLISECOND, () -> heartbeat(index));
	}

	Load account(String name, double perSecond, double burst, double offeredPerSecond) {
		Load load = new Load(name, offeredPerSecond);
		this.loads.put(name, load);
		limit(name, perSecond, burst);
		arrive(load);
		return load;
	}

	void limit(String name, double perSecond, double burst) {
		this.loads.get(name).limit = new RateLimit(perSecond, burst);
		this.accounts.put(name, new ClientAccount(name, List.of(), new RateLimit(perSecond, burst)));
		this.table = new AccountTable(this.accounts);
	}

	void leader(boolean up) {
		this.leaderUp = up;
	}

	void newLeader() {
		this.leader = new QuotaAllocator(this.now, RateLimitTolerance.NONE);
		this.leaderUp = true;
	}

	void loseAnswers(double share) {
		this.lostAnswers = share;
	}

	void partition(int from, int to, boolean separated) {
		this.unreachable.set(from, to, separated);
	}

	void suspended(int daemon) {
		this.daemons.get(daemon).quota.suspended();
	}

	long messages() {
		return this.messages;
	}

	private void arrive(Load load) {
		double perSecond = Math.max(load.offeredPerSecond, 1e-9);
		long delay = (long) (-Math.log(1 - this.random.nextDouble()) / perSecond * SECOND);
		at(this.now + Math.min(delay, 100 * MILLISECOND), () -> {
			if (delay <= 100 * MILLISECOND) {
				offer(load);
			}
			arrive(load);
		});
	}

	/** Offers operations at once, spread over the daemons. */
	void burst(Load load, int operations) {
		for (int count = 0; count < operations; count++) {
			offer(load);
		}
	}

	private void offer(Load load) {
		Daemon daemon = pick();
		load.offered.add(new Offer(daemon.index, this.now));
		daemon.arrived(load);
	}

	private Daemon pick() {
		double last = this.cumulativeShare[this.cumulativeShare.length - 1];
		int index = Arrays.binarySearch(this.cumulativeShare, this.random.nextDouble() * last);
		return this.daemons.get((index < 0) ? -index - 1 : index);
	}

	private void at(long time, Runnable action) {
		this.events.add(new Event(time, this.random.nextInt(), action));
	}

	void run(double seconds) {
		long end = this.now + (long) (seconds * SECOND);
		while (!this.events.isEmpty() && this.events.peek().time <= end) {
			Event event = this.events.poll();
			this.now = event.time;
			event.action.run();
		}
		this.now = end;
	}

	private long delay() {
		return MILLISECOND + (long) (this.random.nextDouble() * 4 * MILLISECOND);
	}

	static double excess(List<Long> times, RateLimit limit) {
		double permitted = (limit.operationsPerSecond() * 5 + limit.burst()) * 1.1 + 20;
		int start = 0;
		double excess = 0;
		for (int end = 0; end < times.size(); end++) {
			while (times.get(end) - times.get(start) > 5 * SECOND) {
				start++;
			}
			excess = Math.max(excess, end - start + 1 - permitted);
		}
		return excess;
	}

	/** Returns the operations that one bucket without delays admits. */
	static List<Long> ideal(List<Long> times, RateLimit limit) {
		double level = limit.burst();
		long before = 0;
		List<Long> admitted = new ArrayList<>();
		for (long time : times) {
			level = Math.min(limit.burst(), level + (time - before) * limit.operationsPerSecond() / SECOND);
			before = time;
			if (level >= 1) {
				level--;
				admitted.add(time);
			}
		}
		return admitted;
	}

	long now() {
		return this.now;
	}

	private record Offer(int daemon, long time) {
	}

	private record Event(long time, int tie, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			return (this.time != other.time) ? Long.compare(this.time, other.time)
					: Integer.compare(this.tie, other.tie);
		}

	}

	/**
	 * Operations of one account.
	 */
	final class Load {

		private final String name;

		private final List<Offer> offered = new ArrayList<>();

		private final List<Long> admitted = new ArrayList<>();

		private RateLimit limit;

		private double offeredPerSecond;

		private int rejected;

		Load(String name, double offeredPerSecond) {
			this.name = name;
			this.offeredPerSecond = offeredPerSecond;
		}

		void offer(double perSecond) {
			this.offeredPerSecond = perSecond;
		}

		String name() {
			return this.name;
		}

		List<Long> offeredTimes() {
			return this.offered.stream().map(Offer::time).toList();
		}

		/** Returns what daemons with a static share of the limit would admit. */
		List<Long> admittedInShares(int daemonCount) {
			RateLimit share = new RateLimit(this.limit.operationsPerSecond() / daemonCount,
					Math.max(1, this.limit.burst() / daemonCount));
			Map<Integer, List<Long>> byDaemon = new TreeMap<>();
			this.offered
				.forEach((offer) -> byDaemon.computeIfAbsent(offer.daemon, (key) -> new ArrayList<>()).add(offer.time));
			return byDaemon.values().stream().flatMap((times) -> ideal(times, share).stream()).sorted().toList();
		}

		int admitted() {
			return this.admitted.size();
		}

		long admittedSince(long from) {
			return this.admitted.stream().filter((time) -> time >= from).count();
		}

		int rejected() {
			return this.rejected;
		}

		RateLimit limit() {
			return this.limit;
		}

		/**
		 * Returns by how much the operations of any 5 s exceed the limit of the work
		 * page.
		 */
		double excess() {
			return excess(0);
		}

		double excess(long from) {
			return SimulatedQuotas.excess(this.admitted.stream().filter((time) -> time >= from).toList(), this.limit);
		}

	}

	private final class Daemon {

		private final int index;

		private final DaemonQuota<Load> quota = new DaemonQuota<>(0, this::decided);

		private long wokenAt = Long.MAX_VALUE;

		private int request;

		private boolean requestOpen;

		Daemon(int index) {
			this.index = index;
		}

		private void arrived(Load load) {
			long time = SimulatedQuotas.this.now;
			QuotaDecision decision = this.quota.arrived(load.name, load.limit, load, time + 400 * MILLISECOND, time);
			decided(load, decision);
			proceed();
		}

		private void decided(Load load, QuotaDecision decision) {
			if (decision == QuotaDecision.ADMITTED) {
				load.admitted.add(SimulatedQuotas.this.now);
			}
			else if (decision.isRejection()) {
				load.rejected++;
			}
		}

		private void proceed() {
			long time = SimulatedQuotas.this.now;
			List<QuotaDemand> demands = this.quota.nextRequest(time);
			if (!demands.isEmpty()) {
				send(demands);
			}
			long dueAt = this.quota.nextDueAt(time);
			if (dueAt < this.wokenAt) {
				this.wokenAt = dueAt;
				at(dueAt, () -> {
					this.wokenAt = Long.MAX_VALUE;
					this.quota.advance(SimulatedQuotas.this.now);
					proceed();
				});
			}
		}

		private void send(List<QuotaDemand> demands) {
			SimulatedQuotas.this.messages++;
			this.request++;
			this.requestOpen = true;
			int number = this.request;
			at(SimulatedQuotas.this.now + TIMEOUT, () -> {
				if (isOpen(number)) {
					this.quota.notAnswered(SimulatedQuotas.this.now);
					proceed();
				}
			});
			QuotaRequest message = new QuotaRequest("d" + this.index, "1", demands);
			at(SimulatedQuotas.this.now + delay(), () -> receive(message, number));
		}

		private void receive(QuotaRequest message, int number) {
			SimulatedQuotas fleet = SimulatedQuotas.this;
			if (!fleet.leaderUp || fleet.unreachable.get(this.index)) {
				return;
			}
			List<QuotaGrant> grants = fleet.leader.allocate(message, fleet.table, fleet.daemons.size(), fleet.now);
			if (fleet.random.nextDouble() >= fleet.lostAnswers) {
				at(fleet.now + delay(), () -> {
					if (isOpen(number)) {
						this.quota.answered(grants, fleet.now);
						proceed();
					}
				});
			}
		}

		private boolean isOpen(int number) {
			boolean open = this.requestOpen && this.request == number;
			if (open) {
				this.requestOpen = false;
			}
			return open;
		}

	}

}
