package org.magnolialead.engine.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Requests that wait for a member connection, ordered by priority, then by account, then
 * by arrival. It answers a load beyond the capacity of the members, of which one account
 * may cause the greatest part.
 * <p>
 * Within a priority, start-time fair queueing shares the service time among the accounts
 * that wait. An account is charged the expected service time of a request when it is
 * granted, so a request that is refused costs it nothing. What an account does not use is
 * left to the others and not given back later. While requests of an account wait, a
 * priority that is not the most urgent keeps {@value #RANK_SHARE_PERCENT}% of the grants.
 * Requests without an account (an empty name) share as one account; if there are no
 * others, the order is by priority and arrival.
 * <p>
 * Requests that compete for the same connections form a lane. If one request of a lane
 * and account cannot be granted, the others behind it are not tried, so the cost of a
 * {@link #scan()} depends on the number of lanes and accounts and not on the number of
 * requests. Not thread-safe.
 *
 * @param <T> type of the requests
 */
public final class FairQueue<T> {

	/**
	 * Share of the grants that each priority below the most urgent keeps, in percent. It
	 * lets a few requests through and costs two lower ranks together a tenth of the
	 * grants.
	 */
	public static final int RANK_SHARE_PERCENT = 5;

	/** Credit that entitles a rank to one grant ahead of more urgent ones. */
	private static final int GRANT_CREDIT = 100;

	/**
	 * Maximum credit, so that a rank loses nothing while its grant waits for that of
	 * another rank, and collects little while its lanes are blocked.
	 */
	private static final int MAXIMUM_CREDIT = 2 * GRANT_CREDIT;

	private final TreeMap<Integer, Rank<T>> ranks = new TreeMap<>();

	private long lastSequenceNumber;

	private int size;

	/** Every other grant is by urgency, however many ranks there are. */
	private boolean lastGrantUsedCredit;

	/**
	 * Adds a request.
	 * @param request the request
	 * @param priority its priority, 0 for the most urgent
	 * @param account its client account, or an empty string
	 * @param lane connections for which it competes
	 * @param costNanoseconds expected service time in nanoseconds
	 * @return its entry in the queue
	 */
	public Entry<T> add(T request, int priority, String account, QueueLane lane, long costNanoseconds) {
		this.lastSequenceNumber++;
		this.size++;
		Rank<T> rank = this.ranks.computeIfAbsent(priority, Rank::new);
		return rank.add(request, account, lane, Math.max(1, costNanoseconds), this.lastSequenceNumber);
	}

	/**
	 * Removes a request that is not granted. Its account is not charged.
	 * @param entry entry of the request
	 */
	public void remove(Entry<T> entry) {
		if (entry.waiting) {
			this.size--;
			entry.flow.rank.remove(entry);
		}
	}

	/**
	 * Removes a request that is granted and charges its account.
	 * @param entry entry of the request
	 */
	public void grant(Entry<T> entry) {
		if (!entry.waiting) {
			return;
		}
		Rank<T> granted = entry.flow.rank;
		Rank<T> mostUrgent = mostUrgentWaiting();
		this.lastGrantUsedCredit = granted != mostUrgent && granted.hasGrantCredit();
		granted.charge(entry);
		this.ranks.values().stream().filter((rank) -> rank != mostUrgent).forEach(Rank::earnCredit);
		remove(entry);
	}

	private Rank<T> mostUrgentWaiting() {
		return this.ranks.values().stream().filter((rank) -> rank.size > 0).findFirst().orElseThrow();
	}

	/**
	 * Returns all requests, in no particular order.
	 * @return a copy of the entries
	 */
	public List<Entry<T>> entries() {
		List<Entry<T>> entries = new ArrayList<>(this.size);
		for (Rank<T> rank : this.ranks.values()) {
			rank.lanes.values().forEach((lane) -> entries.addAll(lane.entries));
		}
		return entries;
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Tells whether no request waits.
	 * @return {@code true} if the queue is empty
	 */
	public boolean isEmpty() {
		return this.size == 0;
	}

	/**
	 * Returns the number of requests that a new request without an account waits for.
	 * @param priority priority of the new request
	 * @return the number of requests of the same and of more urgent priorities
	 */
	public int requestsAhead(int priority) {
		return this.ranks.headMap(priority, true).values().stream().mapToInt((rank) -> rank.size).sum();
	}

	/**
	 * Returns the number of requests of a client account.
	 * @param account name of the account, or an empty string
	 * @param onReplica whether those that a replica can serve are counted, or the others
	 * @return the number of requests of all priorities
	 */
	public int requestsOf(String account, boolean onReplica) {
		return this.ranks.values()
			.stream()
			.map((rank) -> rank.flows.get(account))
			.filter(Objects::nonNull)
			.mapToInt((flow) -> flow.backlog.requests(onReplica))
			.sum();
	}

	/**
	 * Returns the most urgent request of a client account that meets a condition.
	 * @param account name of the account, or an empty string
	 * @param condition the condition
	 * @return its entry, the earliest of its priority, or empty if there is none
	 */
	public Optional<Entry<T>> first(String account, Predicate<T> condition) {
		return this.ranks.values()
			.stream()
			.map((rank) -> rank.first(account, condition))
			.flatMap(Optional::stream)
			.findFirst();
	}

	/**
	 * Returns the expected service time of the requests that are served before a new one.
	 * @param priority priority of the new request
	 * @param account its client account
	 * @param onReplica whether replicas can serve it; only requests that are alike in
	 * this count
	 * @return the sum in nanoseconds
	 */
	public long workAhead(int priority, String account, boolean onReplica) {
		long urgentWork = 0;
		int urgentRequests = 0;
		for (Rank<T> rank : this.ranks.headMap(priority, false).values()) {
			urgentWork += rank.backlog.work(onReplica);
			urgentRequests += rank.backlog.requests(onReplica);
		}
		Rank<T> own = this.ranks.get(priority);
		Backlog ahead = (own != null) ? own.ahead(account, onReplica) : new Backlog();
		if (urgentRequests == 0) {
			return ahead.work(onReplica);
		}
		// The share of the rank limits the number of more urgent grants between two of
		// its own.
		long urgentGrants = (ahead.requests(onReplica) + 1L) * (GRANT_CREDIT / RANK_SHARE_PERCENT);
		return ahead.work(onReplica) + Math.min(urgentWork, urgentGrants * (urgentWork / urgentRequests));
	}

	/**
	 * Starts to visit the requests in the order in which they are to be granted.
	 * @return the scan, which does not include requests that are added later
	 */
	public Scan scan() {
		return new Scan();
	}

	/**
	 * Visit of the requests in order. After each {@link #next()} the caller grants or
	 * removes the request, or reports its lane as blocked.
	 */
	public final class Scan {

		private final TreeMap<Integer, PriorityQueue<Candidate<T>>> candidates = new TreeMap<>();

		private Scan() {
			FairQueue.this.ranks.values().forEach((rank) -> {
				if (rank.size > 0) {
					PriorityQueue<Candidate<T>> queue = new PriorityQueue<>();
					rank.lanes.values().forEach((lane) -> queue.add(new Candidate<>(lane)));
					this.candidates.put(rank.priority, queue);
				}
			});
		}

		/**
		 * Returns the request to be granted next.
		 * @return its entry, or empty if no lane is left
		 */
		public Optional<Entry<T>> next() {
			if (!FairQueue.this.lastGrantUsedCredit) {
				Optional<Entry<T>> preferred = this.candidates.keySet()
					.stream()
					.filter((priority) -> FairQueue.this.ranks.get(priority).hasGrantCredit())
					.map(this::first)
					.flatMap(Optional::stream)
					.findFirst();
				if (preferred.isPresent()) {
					return preferred;
				}
			}
			return this.candidates.keySet().stream().map(this::first).flatMap(Optional::stream).findFirst();
		}

		/**
		 * Excludes the lane of a request for its account from this scan.
		 * @param entry entry of the request that cannot be granted
		 */
		public void blocked(Entry<T> entry) {
			this.candidates.get(entry.flow.rank.priority).poll();
		}

		// The keys in the queue may be older than the last grant. Keys only increase, so
		// the first one that is up to date is the least.
		private Optional<Entry<T>> first(int priority) {
			PriorityQueue<Candidate<T>> queue = this.candidates.get(priority);
			while (!queue.isEmpty()) {
				Candidate<T> candidate = queue.peek();
				if (candidate.isCurrent()) {
					return Optional.of(candidate.lane.first());
				}
				queue.poll();
				if (!candidate.lane.entries.isEmpty()) {
					queue.add(new Candidate<>(candidate.lane));
				}
			}
			return Optional.empty();
		}

	}

	/**
	 * Request in the queue.
	 *
	 * @param <T> type of the requests
	 */
	public static final class Entry<T> {

		private final T request;

		private final Flow<T> flow;

		private final QueueLane lane;

		private final long cost;

		private final long sequenceNumber;

		private boolean waiting = true;

		private Entry(T request, Flow<T> flow, QueueLane lane, long cost, long sequenceNumber) {
			this.request = Objects.requireNonNull(request, "request must not be null");
			this.flow = flow;
			this.lane = lane;
			this.cost = cost;
			this.sequenceNumber = sequenceNumber;
		}

		/**
		 * Returns the request.
		 * @return the request as it was added
		 */
		public T request() {
			return this.request;
		}

		/**
		 * Tells whether the request is in the queue.
		 * @return {@code false} once it is granted or removed
		 */
		public boolean isWaiting() {
			return this.waiting;
		}

	}

	// Requests of one priority. Virtual time is the start tag of the last grant.
	private static final class Rank<T> {

		private final int priority;

		private final Map<String, Flow<T>> flows = new HashMap<>();

		private final Map<LaneKey, Lane<T>> lanes = new HashMap<>();

		private final Backlog backlog = new Backlog();

		private long virtualTime;

		private int size;

		private int requestsOfAccounts;

		private int credit;

		private Rank(int priority) {
			this.priority = priority;
		}

		private Entry<T> add(T request, String account, QueueLane lane, long cost, long sequenceNumber) {
			Flow<T> flow = this.flows.computeIfAbsent(account, (name) -> new Flow<>(this, name));
			if (flow.size == 0) {
				flow.startTag = Math.max(flow.startTag, this.virtualTime);
			}
			Entry<T> entry = new Entry<>(request, flow, lane, cost, sequenceNumber);
			this.lanes.computeIfAbsent(new LaneKey(account, lane), (key) -> new Lane<>(flow)).entries.add(entry);
			flow.size++;
			flow.backlog.add(lane.onReplica(), cost);
			this.size++;
			this.backlog.add(lane.onReplica(), cost);
			this.requestsOfAccounts += account.isEmpty() ? 0 : 1;
			return entry;
		}

		private Optional<Entry<T>> first(String account, Predicate<T> condition) {
			return this.lanes.values()
				.stream()
				.filter((lane) -> lane.flow.account.equals(account))
				.flatMap((lane) -> lane.entries.stream())
				.filter((entry) -> condition.test(entry.request))
				.min(Comparator.comparingLong((entry) -> entry.sequenceNumber));
		}

		private void remove(Entry<T> entry) {
			entry.waiting = false;
			Flow<T> flow = entry.flow;
			LaneKey key = new LaneKey(flow.account, entry.lane);
			Lane<T> lane = this.lanes.get(key);
			lane.entries.remove(entry);
			if (lane.entries.isEmpty()) {
				this.lanes.remove(key);
			}
			flow.size--;
			flow.backlog.subtract(entry.lane.onReplica(), entry.cost);
			this.size--;
			this.backlog.subtract(entry.lane.onReplica(), entry.cost);
			this.requestsOfAccounts -= flow.account.isEmpty() ? 0 : 1;
			if (this.size == 0) {
				// Without waiting requests nobody is at a disadvantage, so all accounts
				// start alike.
				this.flows.clear();
			}
		}

		// A flow whose lanes were blocked may be behind virtual time. It is not given
		// back what others used meanwhile.
		private void charge(Entry<T> entry) {
			this.virtualTime = Math.max(this.virtualTime, entry.flow.startTag);
			entry.flow.startTag = this.virtualTime + entry.cost;
			this.credit = Math.max(0, this.credit - GRANT_CREDIT);
		}

		private void earnCredit() {
			if (this.requestsOfAccounts > 0) {
				this.credit = Math.min(MAXIMUM_CREDIT, this.credit + RANK_SHARE_PERCENT);
			}
		}

		private boolean hasGrantCredit() {
			return this.credit >= GRANT_CREDIT;
		}

		private Backlog ahead(String account, boolean onReplica) {
			Backlog ahead = new Backlog();
			Flow<T> own = this.flows.get(account);
			long tag = this.virtualTime;
			if (own != null) {
				ahead.addAll(onReplica, own.backlog.requests(onReplica), own.backlog.work(onReplica));
				tag = Math.max(tag, own.startTag) + own.backlog.work(onReplica);
			}
			for (Flow<T> flow : this.flows.values()) {
				if (flow != own) {
					flow.addAhead(ahead, tag, this.virtualTime, onReplica);
				}
			}
			return ahead;
		}

	}

	// Requests of one account within a rank.
	private static final class Flow<T> {

		private final Rank<T> rank;

		private final String account;

		private final Backlog backlog = new Backlog();

		private long startTag;

		private int size;

		private Flow(Rank<T> rank, String account) {
			this.rank = rank;
			this.account = account;
		}

		// Adds the requests whose start tags are not after the given one.
		private void addAhead(Backlog ahead, long tag, long virtualTime, boolean onReplica) {
			int requests = this.backlog.requests(onReplica);
			long start = Math.max(this.startTag, virtualTime);
			if (requests == 0 || start > tag) {
				return;
			}
			long meanCost = this.backlog.work(onReplica) / requests;
			int before = (int) Math.min(requests, (tag - start) / meanCost + 1);
			ahead.addAll(onReplica, before, before * meanCost);
		}

	}

	// Requests of one account within a rank that compete for the same connections.
	private static final class Lane<T> {

		private final Flow<T> flow;

		private final LinkedHashSet<Entry<T>> entries = new LinkedHashSet<>();

		private Lane(Flow<T> flow) {
			this.flow = flow;
		}

		private Entry<T> first() {
			return this.entries.iterator().next();
		}

	}

	private static final class Candidate<T> implements Comparable<Candidate<T>> {

		private static final Comparator<Candidate<?>> ORDER = Comparator
			.<Candidate<?>>comparingLong((candidate) -> candidate.startTag)
			.thenComparingLong((candidate) -> candidate.sequenceNumber);

		private final Lane<T> lane;

		private final long startTag;

		private final long sequenceNumber;

		private Candidate(Lane<T> lane) {
			this.lane = lane;
			this.startTag = lane.flow.startTag;
			this.sequenceNumber = lane.first().sequenceNumber;
		}

		private boolean isCurrent() {
			return !this.lane.entries.isEmpty() && this.lane.flow.startTag == this.startTag
					&& this.lane.first().sequenceNumber == this.sequenceNumber;
		}

		@Override
		public int compareTo(Candidate<T> other) {
			return ORDER.compare(this, other);
		}

	}

	private record LaneKey(String account, QueueLane lane) {
	}

	// Number and expected service time of requests for the primary and for replicas.
	private static final class Backlog {

		private final int[] requests = new int[2];

		private final long[] work = new long[2];

		private void add(boolean onReplica, long cost) {
			addAll(onReplica, 1, cost);
		}

		private void subtract(boolean onReplica, long cost) {
			addAll(onReplica, -1, -cost);
		}

		private void addAll(boolean onReplica, int number, long cost) {
			this.requests[index(onReplica)] += number;
			this.work[index(onReplica)] += cost;
		}

		private int requests(boolean onReplica) {
			return this.requests[index(onReplica)];
		}

		private long work(boolean onReplica) {
			return this.work[index(onReplica)];
		}

		private static int index(boolean onReplica) {
			return onReplica ? 1 : 0;
		}

	}

}
