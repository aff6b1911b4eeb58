package org.magnolialead.engine.owner;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.Rank;
import org.magnolialead.api.Step;

/**
 * Assigns the slots of a group's members to waiting work items. Not thread-safe.
 * <p>
 * Items wait in rank queues, one for each rank and set of members that may serve them. A
 * queue whose rank has received less than its floor of the slot time of the queue's
 * members is served first; otherwise the most urgent rank is. Because the floor applies
 * to each set of members, work that only replicas may serve keeps its share of the
 * replicas.
 * <p>
 * An operation takes O(log n) time for n waiting items, plus a bounded number of checks
 * of rank queues and of items whose eligible members have changed.
 *
 * @param <W> type of the caller's work
 */
public final class GroupScheduler<W> {

	/**
	 * Length of the sliding window over which floors hold, in nanoseconds per slot.
	 */
	static final long FLOOR_WINDOW_NANOSECONDS = 1_000_000_000L;

	/**
	 * Maximum wait of a read for a replica while the primary has a free slot, as a
	 * multiple of the service time. At ordinary load 99% of browsing reads get a replica
	 * within one service time; a wait of two adds one percentage point and 1.5 ms of
	 * latency at the 99th percentile.
	 */
	private static final double REPLICA_WAIT_SERVICE_TIMES = 1;

	/** Divisor for the part of an item's timeout that it waits for a replica at most. */
	private static final int REPLICA_WAIT_DIVISOR = 4;

	/**
	 * Share of an item's timeout that its expected wait may take. Without this margin,
	 * work reaches the head of a full queue just before its deadline, and much of it
	 * finishes too late.
	 */
	private static final double MAXIMUM_WAIT_SHARE = 0.5;

	/** Maximum number of items that one dispatch moves to other rank queues. */
	private static final int MOVE_LIMIT = 64;

	/**
	 * Maximum number of waiting items whose eligible members one dispatch checks again
	 * while slots are free.
	 */
	private static final int REFRESH_LIMIT = 16;

	/** Number of rank queues per rank above which empty ones are removed. */
	private static final int RANK_QUEUE_LIMIT = 16;

	private final SchedulingPolicy policy;

	private final Map<Rank, Map<Set<String>, RankQueue<W>>> rankQueues = new EnumMap<>(Rank.class);

	private final Map<W, QueueEntry<W>> entries = new IdentityHashMap<>();

	private final TreeSet<QueueEntry<W>> byDeadline = new TreeSet<>(QueueEntry::compareByDeadline);

	private final LinkedHashSet<QueueEntry<W>> refreshOrder = new LinkedHashSet<>();

	private final List<W> dropped = new ArrayList<>();

	private final Map<Rank, Integer> waiting = new EnumMap<>(Rank.class);

	private final Set<Dispatch<W>> running = Collections.newSetFromMap(new IdentityHashMap<>());

	private final Map<String, Member> members = new HashMap<>();

	private final Map<Dispatch<W>, RankQueue.SlotUse> estimatedUses = new IdentityHashMap<>();

	private SchedulerSettings settings;

	private long nextSequence;

	/**
	 * Creates a scheduler without slots.
	 * @param policy order in which work is served
	 * @param settings settings in force
	 */
	public GroupScheduler(SchedulingPolicy policy, SchedulerSettings settings) {
		this.policy = Objects.requireNonNull(policy, "policy must not be null");
		this.settings = Objects.requireNonNull(settings, "settings must not be null");
		for (Rank rank : Rank.values()) {
			this.rankQueues.put(rank, new LinkedHashMap<>());
			this.waiting.put(rank, 0);
		}
	}

	/**
	 * Changes the settings. Items that already wait beyond a lowered limit remain.
	 * @param changed the new settings
	 */
	public void settings(SchedulerSettings changed) {
		this.settings = Objects.requireNonNull(changed, "settings must not be null");
	}

	/**
	 * Sets the members that receive work. Statements that run on other members continue.
	 * @param slotsByMember number of statements that each member runs concurrently, by
	 * name of the member
	 */
	public void capacity(Map<String, Integer> slotsByMember) {
		this.members.values().forEach((member) -> member.slots = 0);
		slotsByMember.forEach((name, slots) -> member(name).slots = slots);
		this.members.values().removeIf((member) -> member.slots == 0 && member.running == 0);
	}

	/**
	 * Offers an item.
	 * @param item the item; its work must not be waiting already
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return whether the item was queued, or why it was refused
	 * @throws IllegalArgumentException if the work is already waiting
	 */
	public Admission offer(WorkItem<W> item, long now) {
		if (this.entries.containsKey(item.work())) {
			throw new IllegalArgumentException("work is already waiting: " + item.work());
		}
		if (cannotMeetDeadline(item, now)) {
			return new Admission.Refused(ErrorCode.DEADLINE_EXCEEDED, 0);
		}
		List<String> eligible = item.memberSelector().eligible(now);
		if (!hasIdleSlot(eligible)) {
			Admission.Refused refusal = refusal(item, eligible, now);
			if (refusal != null) {
				return refusal;
			}
		}
		QueueEntry<W> entry = new QueueEntry<>(item, this.policy.orderOf(item), this.nextSequence++);
		this.entries.put(item.work(), entry);
		this.byDeadline.add(entry);
		this.refreshOrder.add(entry);
		this.waiting.merge(item.rank(), 1, Integer::sum);
		rankQueue(item.rank(), eligible).add(entry, eligible);
		return new Admission.Admitted();
	}

	/**
	 * Starts as many items as free slots allow.
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return the started items, each of which must be passed to {@link #finished}
	 */
	public List<Dispatch<W>> dispatch(long now) {
		dropExpired(now);
		List<Dispatch<W>> started = new ArrayList<>();
		int moves = 0;
		boolean refreshed = false;
		while (moves < MOVE_LIMIT && !this.entries.isEmpty() && hasFreeSlot(this.members.keySet())) {
			RankQueue<W> rankQueue = this.policy.next(candidates(now));
			if (rankQueue == null) {
				if (refreshed || !refreshEligibleMembers(now)) {
					break;
				}
				refreshed = true;
				continue;
			}
			QueueEntry<W> entry = rankQueue.entries().first();
			List<String> eligible = entry.item().memberSelector().eligible(now);
			String member = startable(entry, eligible, now);
			if (member != null) {
				started.add(start(entry, member, now));
			}
			else {
				requeue(entry, eligible);
				moves++;
			}
		}
		return started;
	}

	/**
	 * Removes items that cannot finish before their deadline.
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return the removed work, which never ran
	 */
	public List<W> removeExpired(long now) {
		dropExpired(now);
		List<W> expired = List.copyOf(this.dropped);
		this.dropped.clear();
		return expired;
	}

	/**
	 * Removes a waiting item.
	 * @param work the work
	 * @return {@code true} if it was waiting and will not run
	 */
	public boolean remove(W work) {
		QueueEntry<W> entry = this.entries.get(work);
		if (entry != null) {
			removeEntry(entry);
			return true;
		}
		for (int i = 0; i < this.dropped.size(); i++) {
			if (this.dropped.get(i) == work) {
				this.dropped.remove(i);
				return true;
			}
		}
		return false;
	}

	/**
	 * Releases the slot of a statement and records its service time.
	 * @param dispatch the statement as returned by {@link #dispatch}
	 * @param now present time in nanoseconds of the monotonic clock
	 */
	public void finished(Dispatch<W> dispatch, long now) {
		Invariants.check(this.running.remove(dispatch), Step.QUEUE, dispatch.member(),
				"a slot must be freed once by the statement that holds it");
		Member member = member(dispatch.member());
		member.running--;
		long service = now - dispatch.startedAt();
		RankQueue.SlotUse estimated = this.estimatedUses.remove(dispatch);
		recordSlotTime(dispatch.member(),
				new RankQueue.SlotUse(service - estimated.nanoseconds(), estimated.rank(), estimated.overtaking()));
		member.serviceTime(dispatch.rank()).add(service, now);
		if (member.slots == 0 && member.running == 0) {
			this.members.remove(dispatch.member());
		}
	}

	/**
	 * Returns the number of waiting items of a rank.
	 * @param rank the rank
	 * @return the number
	 */
	public int waiting(Rank rank) {
		return this.waiting.get(rank);
	}

	/**
	 * Returns the number of running statements.
	 * @return the number
	 */
	public int running() {
		return this.running.size();
	}

	/**
	 * Returns the number of statements that a member is running.
	 * @param member name of the member
	 * @return the number
	 */
	public int running(String member) {
		Member known = this.members.get(member);
		return (known != null) ? known.running : 0;
	}

	/**
	 * Returns the time at which {@link #removeExpired} must next be called.
	 * @return the earliest deadline of a waiting item, or empty if none waits
	 */
	public OptionalLong nextDeadline() {
		return this.byDeadline.isEmpty() ? OptionalLong.empty()
				: OptionalLong.of(this.byDeadline.first().item().deadline());
	}

	private Admission.Refused refusal(WorkItem<W> item, List<String> eligible, long now) {
		double waitNanoseconds = expectedWait(item, eligible);
		int length = this.policy.queueLength(waiting(item.rank()), this.entries.size());
		if (length >= this.policy.queueLimit(this.settings)) {
			return new Admission.Refused(ErrorCode.OVERLOADED, milliseconds(waitNanoseconds));
		}
		double excessNanoseconds = waitNanoseconds / MAXIMUM_WAIT_SHARE + serviceTime(item.rank(), eligible)
				- (item.deadline() - now);
		if (this.policy.refusesEarly() && excessNanoseconds > 0) {
			return new Admission.Refused(ErrorCode.OVERLOADED, milliseconds(excessNanoseconds));
		}
		return null;
	}

	// Estimates how long an item waits for the queued work of its own rank and of more
	// urgent ranks. The floor of its own rank is an upper bound of the wait, and the
	// floors of lower ranks reduce the available slots.
	private double expectedWait(WorkItem<W> item, List<String> eligible) {
		int slots = slots(eligible);
		if (slots == 0) {
			return 0;
		}
		double workOfRank = 0;
		double workOfHigherRanks = 0;
		double lowerFloors = 0;
		for (Rank rank : Rank.values()) {
			if (item.rank().isMoreUrgentThan(rank)) {
				lowerFloors += (waiting(rank) > 0) ? this.settings.floorOf(rank) : 0;
				continue;
			}
			for (RankQueue<W> rankQueue : this.rankQueues.get(rank).values()) {
				if (rank == item.rank()) {
					workOfRank += expectedSlotTime(rankQueue, rankQueue.entries().countUpTo(this.policy.orderOf(item)),
							eligible);
				}
				else {
					workOfHigherRanks += expectedSlotTime(rankQueue, rankQueue.entries().size(), eligible);
				}
			}
		}
		double byOrder = (workOfRank + workOfHigherRanks) / (slots * (1 - lowerFloors));
		double floor = this.settings.floorOf(item.rank());
		return (floor > 0) ? Math.min(byOrder, workOfRank / (slots * floor)) : byOrder;
	}

	// Slot time that items of a rank queue are expected to use on the given members.
	private double expectedSlotTime(RankQueue<W> rankQueue, int items, List<String> eligible) {
		if (items == 0) {
			return 0;
		}
		int shared = 0;
		int all = 0;
		for (String name : rankQueue.members()) {
			int slots = slots(name);
			all += slots;
			shared += eligible.contains(name) ? slots : 0;
		}
		return (shared == 0) ? 0 : items * serviceTime(rankQueue.rank(), rankQueue.members()) * shared / all;
	}

	private double serviceTime(Rank rank, Iterable<String> names) {
		double sum = 0;
		int count = 0;
		for (String name : names) {
			Member member = this.members.get(name);
			if (member != null && member.serviceTime(rank).isKnown()) {
				sum += member.serviceTime(rank).smoothed();
				count++;
			}
		}
		return (count > 0) ? sum / count : ServiceTimeEstimate.INITIAL_NANOSECONDS;
	}

	private static long milliseconds(double nanoseconds) {
		return Math.max(1, Math.round(nanoseconds / 1_000_000));
	}

	// Tells whether even the fastest member would respond after the deadline.
	private boolean cannotMeetDeadline(WorkItem<W> item, long now) {
		return item.deadline() - now <= lowServiceTimeEstimate(item.rank(), now);
	}

	private long lowServiceTimeEstimate(Rank rank, long now) {
		if (!this.policy.refusesEarly()) {
			return 0;
		}
		long least = Long.MAX_VALUE;
		for (Member member : this.members.values()) {
			if (member.slots > 0) {
				least = Math.min(least, member.serviceTime(rank).lowEstimate(now));
			}
		}
		return (least != Long.MAX_VALUE) ? least : 0;
	}

	private void dropExpired(long now) {
		while (!this.byDeadline.isEmpty() && this.byDeadline.first().item().deadline() - now <= 0) {
			drop(this.byDeadline.first());
		}
		if (!this.policy.refusesEarly()) {
			return;
		}
		for (Rank rank : Rank.values()) {
			long serviceTime = lowServiceTimeEstimate(rank, now);
			for (RankQueue<W> rankQueue : this.rankQueues.get(rank).values()) {
				while (!rankQueue.entries().isEmpty()
						&& rankQueue.entries().first().item().deadline() - now <= serviceTime) {
					drop(rankQueue.entries().first());
				}
			}
		}
	}

	private void drop(QueueEntry<W> entry) {
		removeEntry(entry);
		this.dropped.add(entry.item().work());
	}

	private void removeEntry(QueueEntry<W> entry) {
		entry.rankQueue().entries().remove(entry);
		this.entries.remove(entry.item().work());
		this.byDeadline.remove(entry);
		this.refreshOrder.remove(entry);
		this.waiting.merge(entry.item().rank(), -1, Integer::sum);
	}

	private Dispatch<W> start(QueueEntry<W> entry, String name, long now) {
		removeEntry(entry);
		Rank rank = entry.item().rank();
		Member member = member(name);
		member.running++;
		Invariants.check(member.running <= member.slots, Step.QUEUE, name,
				"a member must not run more statements than it has slots");
		Invariants.check(entry.item().deadline() - now > 0, Step.QUEUE, name,
				"a statement must not start after its deadline");
		Dispatch<W> dispatch = new Dispatch<>(entry.item().work(), rank, name, now);
		this.running.add(dispatch);
		RankQueue.SlotUse estimate = new RankQueue.SlotUse(member.serviceTime(rank).median(), rank,
				entry.rankQueue().overtaking());
		this.estimatedUses.put(dispatch, estimate);
		recordSlotTime(name, estimate);
		return dispatch;
	}

	private void recordSlotTime(String member, RankQueue.SlotUse use) {
		for (Map<Set<String>, RankQueue<W>> queuesOfRank : this.rankQueues.values()) {
			for (RankQueue<W> rankQueue : queuesOfRank.values()) {
				if (rankQueue.members().contains(member)) {
					rankQueue.recordSlotTime(use, this.settings.floorOf(rankQueue.rank()), windowSlotTime(rankQueue));
				}
			}
		}
	}

	private boolean mayOvertake(RankQueue<W> rankQueue) {
		boolean preferredIsFree = false;
		for (String name : rankQueue.members()) {
			preferredIsFree |= !name.equals(rankQueue.leastPreferred()) && running(name) < slots(name);
		}
		return preferredIsFree && rankQueue.hasCredit(serviceTime(rankQueue.rank(), rankQueue.members()),
				this.settings.floorOf(rankQueue.rank()), windowSlotTime(rankQueue));
	}

	// A rank queue whose only free member is its least preferred one waits for the other
	// members as long as its first item does.
	private boolean mayStart(RankQueue<W> rankQueue, long now) {
		for (String name : rankQueue.members()) {
			boolean free = running(name) < slots(name);
			if (free && (!name.equals(rankQueue.leastPreferred())
					|| !waitsForPreferred(rankQueue.entries().first(), rankQueue, now))) {
				return true;
			}
		}
		return false;
	}

	private String startable(QueueEntry<W> entry, List<String> eligible, long now) {
		String member = firstFree(eligible);
		boolean leastPreferred = eligible.size() > 1 && eligible.get(eligible.size() - 1).equals(member);
		return (leastPreferred && waitsForPreferred(entry, entry.rankQueue(), now)) ? null : member;
	}

	/**
	 * Tells whether an item waits although its least preferred member has a free slot.
	 * Reads would otherwise take slots of the primary, the only member that serves
	 * writes, whenever all replicas are briefly busy.
	 * @param entry the item
	 * @param rankQueue rank queue of the item
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return {@code true} if the item waits for another member
	 */
	private boolean waitsForPreferred(QueueEntry<W> entry, RankQueue<W> rankQueue, long now) {
		WorkItem<W> item = entry.item();
		if (!this.policy.waitsForPreferred() || slots(rankQueue.members()) == slots(rankQueue.leastPreferred())) {
			return false;
		}
		double limit = REPLICA_WAIT_SERVICE_TIMES * serviceTime(item.rank(), rankQueue.members());
		long maximumWait = (item.deadline() - item.arrival()) / REPLICA_WAIT_DIVISOR;
		return now - item.arrival() < Math.min(limit, maximumWait);
	}

	private double windowSlotTime(RankQueue<W> rankQueue) {
		return (double) FLOOR_WINDOW_NANOSECONDS * slots(rankQueue.members());
	}

	// Rank queues are visited in descending order of urgency, so the first candidate does
	// not overtake any.
	private List<RankQueue<W>> candidates(long now) {
		List<RankQueue<W>> candidates = new ArrayList<>();
		for (Map<Set<String>, RankQueue<W>> queuesOfRank : this.rankQueues.values()) {
			for (RankQueue<W> rankQueue : queuesOfRank.values()) {
				if (!rankQueue.entries().isEmpty() && mayStart(rankQueue, now)) {
					rankQueue.overtaking(!candidates.isEmpty() && mayOvertake(rankQueue));
					candidates.add(rankQueue);
				}
			}
		}
		return candidates;
	}

	/**
	 * Updates the eligible members of the least recently checked items, because an item
	 * that could not use a free slot earlier may do so now.
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return {@code true} if a slot is free and items were checked
	 */
	private boolean refreshEligibleMembers(long now) {
		if (!hasFreeSlot(this.members.keySet())) {
			return false;
		}
		int count = Math.min(REFRESH_LIMIT, this.refreshOrder.size());
		for (int i = 0; i < count; i++) {
			QueueEntry<W> entry = this.refreshOrder.iterator().next();
			requeue(entry, entry.item().memberSelector().eligible(now));
		}
		return true;
	}

	private void requeue(QueueEntry<W> entry, List<String> eligible) {
		entry.rankQueue().entries().remove(entry);
		this.refreshOrder.remove(entry);
		this.refreshOrder.add(entry);
		rankQueue(entry.item().rank(), eligible).add(entry, eligible);
	}

	private RankQueue<W> rankQueue(Rank rank, List<String> eligible) {
		Map<Set<String>, RankQueue<W>> queuesOfRank = this.rankQueues.get(rank);
		Set<String> key = Set.copyOf(eligible);
		RankQueue<W> rankQueue = queuesOfRank.get(key);
		if (rankQueue == null) {
			if (queuesOfRank.size() >= RANK_QUEUE_LIMIT) {
				queuesOfRank.values().removeIf((present) -> present.entries().isEmpty());
			}
			rankQueue = new RankQueue<>(rank, key);
			queuesOfRank.put(key, rankQueue);
		}
		return rankQueue;
	}

	// A free slot counts as idle if it exceeds the queued work that could use it.
	private boolean hasIdleSlot(List<String> names) {
		int idle = 0;
		for (String name : names) {
			idle += Math.max(0, slots(name) - running(name));
		}
		for (Map<Set<String>, RankQueue<W>> queuesOfRank : this.rankQueues.values()) {
			for (RankQueue<W> rankQueue : queuesOfRank.values()) {
				boolean shared = !Collections.disjoint(rankQueue.members(), names);
				idle -= shared ? rankQueue.entries().size() : 0;
			}
		}
		return idle > 0;
	}

	private boolean hasFreeSlot(Iterable<String> names) {
		return firstFree(names) != null;
	}

	private String firstFree(Iterable<String> names) {
		for (String name : names) {
			Member member = this.members.get(name);
			if (member != null && member.running < member.slots) {
				return name;
			}
		}
		return null;
	}

	private int slots(Iterable<String> names) {
		int sum = 0;
		for (String name : names) {
			sum += slots(name);
		}
		return sum;
	}

	private int slots(String name) {
		Member member = this.members.get(name);
		return (member != null) ? member.slots : 0;
	}

	private Member member(String name) {
		return this.members.computeIfAbsent(name, (absent) -> new Member());
	}

	private static final class Member {

		private final Map<Rank, ServiceTimeEstimate> serviceTimes = new EnumMap<>(Rank.class);

		private int slots;

		private int running;

		ServiceTimeEstimate serviceTime(Rank rank) {
			return this.serviceTimes.computeIfAbsent(rank, (absent) -> new ServiceTimeEstimate());
		}

	}

}
