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
 * Assigns the slots of a group's members to waiting work. Not thread-safe.
 * <p>
 * Items wait in lanes, one for each rank and set of members that may serve them. A lane
 * whose rank has less than its floor of the slot time of the lane's members goes first;
 * otherwise the most urgent rank does. Because the floor is kept for each set of members,
 * work that only replicas serve keeps its share of the replicas.
 * <p>
 * An operation costs O(log n) for n waiting items, plus a bounded number of checks of
 * lanes and of items whose members have changed.
 *
 * @param <W> type of the caller's work
 */
public final class GroupScheduler<W> {

	/**
	 * Period over which floors hold, in nanoseconds of each slot's time.
	 */
	static final long FLOOR_WINDOW_NANOSECONDS = 1_000_000_000L;

	/**
	 * Service times that a read waits for a replica while the primary has a free slot. At
	 * ordinary load 99% of browsing reads get one within that time; twice the time gained
	 * one more point and cost 1.5 ms at the 99th percentile.
	 */
	private static final double PREFERENCE_SERVICE_TIMES = 1;

	/** Part of its whole time that an item spends at most on waiting for a replica. */
	private static final int PREFERENCE_TIME_DIVISOR = 4;

	/**
	 * Part of an item's time that its expected wait may take up. Admitted up to its whole
	 * time, work reaches the head of a full queue just before its deadline, and much of
	 * it ends too late.
	 */
	private static final double WAIT_SHARE = 0.5;

	/** Greatest number of items moved to other lanes by one dispatch. */
	private static final int MOVE_LIMIT = 64;

	/** Number of waiting items whose members are checked again while slots are free. */
	private static final int REFRESH_LIMIT = 16;

	/** Number of lanes per rank beyond which empty ones are dropped. */
	private static final int LANE_LIMIT = 16;

	private final SchedulingPolicy policy;

	private final Map<Rank, Map<Set<String>, Lane<W>>> lanes = new EnumMap<>(Rank.class);

	private final Map<W, Entry<W>> entries = new IdentityHashMap<>();

	private final TreeSet<Entry<W>> byDeadline = new TreeSet<>(Entry::compareByDeadline);

	private final LinkedHashSet<Entry<W>> refreshOrder = new LinkedHashSet<>();

	private final List<W> dropped = new ArrayList<>();

	private final Map<Rank, Integer> waiting = new EnumMap<>(Rank.class);

	private final Set<Dispatch<W>> running = Collections.newSetFromMap(new IdentityHashMap<>());

	private final Map<String, Member> members = new HashMap<>();

	private final Map<Dispatch<W>, Lane.Use> charges = new IdentityHashMap<>();

	private SchedulerSettings settings;

	private long nextSequence;

	/**
	 * Creates a scheduler without capacity.
	 * @param policy order in which work is served
	 * @param settings settings in force
	 */
	public GroupScheduler(SchedulingPolicy policy, SchedulerSettings settings) {
		this.policy = Objects.requireNonNull(policy, "policy must not be null");
		this.settings = Objects.requireNonNull(settings, "settings must not be null");
		for (Rank rank : Rank.values()) {
			this.lanes.put(rank, new LinkedHashMap<>());
			this.waiting.put(rank, 0);
		}
	}

	/**
	 * Changes the settings. Waiting items beyond a lower limit stay.
	 * @param changed settings in force from now on
	 */
	public void settings(SchedulerSettings changed) {
		this.settings = Objects.requireNonNull(changed, "settings must not be null");
	}

	/**
	 * Sets the members that may receive work. Statements that run at other members go on.
	 * @param slotsByMember number of statements that each member runs at once
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
	 * @return whether it waits now, or why it was refused
	 * @throws IllegalArgumentException if the work is already waiting
	 */
	public Admission offer(WorkItem<W> item, long now) {
		if (this.entries.containsKey(item.work())) {
			throw new IllegalArgumentException("work is already waiting: " + item.work());
		}
		if (cannotFinish(item, now)) {
			return new Admission.Refused(ErrorCode.DEADLINE_EXCEEDED, 0);
		}
		List<String> eligible = item.choice().eligible(now);
		if (!hasIdleSlot(eligible)) {
			Admission.Refused refusal = refusal(item, eligible, now);
			if (refusal != null) {
				return refusal;
			}
		}
		Entry<W> entry = new Entry<>(item, this.policy.orderOf(item), this.nextSequence++);
		this.entries.put(item.work(), entry);
		this.byDeadline.add(entry);
		this.refreshOrder.add(entry);
		this.waiting.merge(item.rank(), 1, Integer::sum);
		lane(item.rank(), eligible).add(entry, eligible);
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
			Lane<W> lane = this.policy.next(candidates(now));
			if (lane == null) {
				if (refreshed || !refresh(now)) {
					break;
				}
				refreshed = true;
				continue;
			}
			Entry<W> entry = lane.queue().first();
			List<String> eligible = entry.item().choice().eligible(now);
			String member = startable(entry, eligible, now);
			if (member != null) {
				started.add(start(entry, member, now));
			}
			else {
				move(entry, eligible);
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
		Entry<W> entry = this.entries.get(work);
		if (entry != null) {
			take(entry);
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
	 * Frees the slot of a statement and learns its service time.
	 * @param dispatch the statement as returned by {@link #dispatch}
	 * @param now present time in nanoseconds of the monotonic clock
	 */
	public void finished(Dispatch<W> dispatch, long now) {
		Invariants.check(this.running.remove(dispatch), Step.QUEUE, dispatch.member(),
				"a slot must be freed once by the statement that holds it");
		Member member = member(dispatch.member());
		member.running--;
		long service = now - dispatch.startedAt();
		Lane.Use charged = this.charges.remove(dispatch);
		account(dispatch.member(), new Lane.Use(service - charged.nanoseconds(), charged.rank(), charged.overtaking()));
		member.serviceTime(dispatch.rank()).learn(service, now);
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
	 * Returns the time at which {@link #removeExpired} must be called next.
	 * @return the earliest deadline of a waiting item, or empty if none waits
	 */
	public OptionalLong nextDeadline() {
		return this.byDeadline.isEmpty() ? OptionalLong.empty()
				: OptionalLong.of(this.byDeadline.first().item().deadline());
	}

	private Admission.Refused refusal(WorkItem<W> item, List<String> eligible, long now) {
		double wait = expectedWait(item, eligible);
		int length = this.policy.queueLength(waiting(item.rank()), this.entries.size());
		if (length >= this.policy.queueLimit(this.settings)) {
			return new Admission.Refused(ErrorCode.OVERLOADED, milliseconds(wait));
		}
		double late = wait / WAIT_SHARE + serviceTime(item.rank(), eligible) - (item.deadline() - now);
		if (this.policy.refusesEarly() && late > 0) {
			return new Admission.Refused(ErrorCode.OVERLOADED, milliseconds(late));
		}
		return null;
	}

	// Estimates how long an item waits behind the present work of its own and higher
	// ranks.
	// The rank's own floor bounds the time from above, and the floors of lower ranks take
	// their share of the slots.
	private double expectedWait(WorkItem<W> item, List<String> eligible) {
		int slots = slots(eligible);
		if (slots == 0) {
			return 0;
		}
		double own = 0;
		double higher = 0;
		double lowerFloors = 0;
		for (Rank rank : Rank.values()) {
			if (item.rank().isMoreUrgentThan(rank)) {
				lowerFloors += (waiting(rank) > 0) ? this.settings.floorOf(rank) : 0;
				continue;
			}
			for (Lane<W> lane : this.lanes.get(rank).values()) {
				if (rank == item.rank()) {
					own += work(lane, lane.queue().countUpTo(this.policy.orderOf(item)), eligible);
				}
				else {
					higher += work(lane, lane.queue().size(), eligible);
				}
			}
		}
		double byOrder = (own + higher) / (slots * (1 - lowerFloors));
		double floor = this.settings.floorOf(item.rank());
		return (floor > 0) ? Math.min(byOrder, own / (slots * floor)) : byOrder;
	}

	// Slot time that items of a lane are expected to use on the given members.
	private double work(Lane<W> lane, int items, List<String> eligible) {
		if (items == 0) {
			return 0;
		}
		int shared = 0;
		int all = 0;
		for (String name : lane.members()) {
			int slots = slots(name);
			all += slots;
			shared += eligible.contains(name) ? slots : 0;
		}
		return (shared == 0) ? 0 : items * serviceTime(lane.rank(), lane.members()) * shared / all;
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
		return (count > 0) ? sum / count : ServiceTime.START_NANOSECONDS;
	}

	private static long milliseconds(double nanoseconds) {
		return Math.max(1, Math.round(nanoseconds / 1_000_000));
	}

	// Tells whether even the fastest member would answer after the deadline.
	private boolean cannotFinish(WorkItem<W> item, long now) {
		return item.deadline() - now <= certainServiceTime(item.rank(), now);
	}

	private long certainServiceTime(Rank rank, long now) {
		if (!this.policy.refusesEarly()) {
			return 0;
		}
		long least = Long.MAX_VALUE;
		for (Member member : this.members.values()) {
			if (member.slots > 0) {
				least = Math.min(least, member.serviceTime(rank).certain(now));
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
			long certain = certainServiceTime(rank, now);
			for (Lane<W> lane : this.lanes.get(rank).values()) {
				while (!lane.queue().isEmpty() && lane.queue().first().item().deadline() - now <= certain) {
					drop(lane.queue().first());
				}
			}
		}
	}

	private void drop(Entry<W> entry) {
		take(entry);
		this.dropped.add(entry.item().work());
	}

	private void take(Entry<W> entry) {
		entry.lane().queue().remove(entry);
		this.entries.remove(entry.item().work());
		this.byDeadline.remove(entry);
		this.refreshOrder.remove(entry);
		this.waiting.merge(entry.item().rank(), -1, Integer::sum);
	}

	private Dispatch<W> start(Entry<W> entry, String name, long now) {
		take(entry);
		Rank rank = entry.item().rank();
		Member member = member(name);
		member.running++;
		Invariants.check(member.running <= member.slots, Step.QUEUE, name,
				"a member must not run more statements than it has slots");
		Invariants.check(entry.item().deadline() - now > 0, Step.QUEUE, name,
				"a statement must not start after its deadline");
		Dispatch<W> dispatch = new Dispatch<>(entry.item().work(), rank, name, now);
		this.running.add(dispatch);
		Lane.Use charge = new Lane.Use(member.serviceTime(rank).median(), rank, entry.lane().belowFloor());
		this.charges.put(dispatch, charge);
		account(name, charge);
		return dispatch;
	}

	private void account(String member, Lane.Use use) {
		for (Map<Set<String>, Lane<W>> ofRank : this.lanes.values()) {
			for (Lane<W> lane : ofRank.values()) {
				if (lane.members().contains(member)) {
					lane.account(use, this.settings.floorOf(lane.rank()), window(lane));
				}
			}
		}
	}

	// The lanes are visited from the most urgent rank on, so a lane without candidates
	// before it overtakes nothing.
	private boolean mayOvertake(Lane<W> lane) {
		boolean preferredIsFree = false;
		for (String name : lane.members()) {
			preferredIsFree |= !name.equals(lane.lastChoice()) && running(name) < slots(name);
		}
		return preferredIsFree && lane.hasEarned(serviceTime(lane.rank(), lane.members()),
				this.settings.floorOf(lane.rank()), window(lane));
	}

	// A lane whose only free member is its last choice waits for the others as long as
	// its first item does.
	private boolean mayStart(Lane<W> lane, long now) {
		for (String name : lane.members()) {
			boolean free = running(name) < slots(name);
			if (free && (!name.equals(lane.lastChoice()) || !waitsForPreferred(lane.queue().first(), lane, now))) {
				return true;
			}
		}
		return false;
	}

	private String startable(Entry<W> entry, List<String> eligible, long now) {
		String member = firstFree(eligible);
		boolean lastChoice = eligible.size() > 1 && eligible.get(eligible.size() - 1).equals(member);
		return (lastChoice && waitsForPreferred(entry, entry.lane(), now)) ? null : member;
	}

	/**
	 * Tells whether an item leaves a slot of its last choice free. Reads would otherwise
	 * take slots of the primary, which alone serves writes, whenever all replicas are
	 * busy for a moment.
	 * @param entry the item
	 * @param lane its lane
	 * @param now present time
	 * @return whether it waits for another member
	 */
	private boolean waitsForPreferred(Entry<W> entry, Lane<W> lane, long now) {
		WorkItem<W> item = entry.item();
		if (!this.policy.waitsForPreferred() || slots(lane.members()) == slots(lane.lastChoice())) {
			return false;
		}
		double limit = PREFERENCE_SERVICE_TIMES * serviceTime(item.rank(), lane.members());
		long quarter = (item.deadline() - item.arrival()) / PREFERENCE_TIME_DIVISOR;
		return now - item.arrival() < Math.min(limit, quarter);
	}

	private double window(Lane<W> lane) {
		return (double) FLOOR_WINDOW_NANOSECONDS * slots(lane.members());
	}

	private List<Lane<W>> candidates(long now) {
		List<Lane<W>> candidates = new ArrayList<>();
		for (Map<Set<String>, Lane<W>> ofRank : this.lanes.values()) {
			for (Lane<W> lane : ofRank.values()) {
				if (!lane.queue().isEmpty() && mayStart(lane, now)) {
					lane.belowFloor(!candidates.isEmpty() && mayOvertake(lane));
					candidates.add(lane);
				}
			}
		}
		return candidates;
	}

	/**
	 * Checks the members of the items that were not checked for the longest time, because
	 * an item that could not use a free slot earlier may do so now.
	 * @param now present time
	 * @return whether there was a free slot to check for
	 */
	private boolean refresh(long now) {
		if (!hasFreeSlot(this.members.keySet())) {
			return false;
		}
		int count = Math.min(REFRESH_LIMIT, this.refreshOrder.size());
		for (int i = 0; i < count; i++) {
			Entry<W> entry = this.refreshOrder.iterator().next();
			move(entry, entry.item().choice().eligible(now));
		}
		return true;
	}

	private void move(Entry<W> entry, List<String> eligible) {
		entry.lane().queue().remove(entry);
		this.refreshOrder.remove(entry);
		this.refreshOrder.add(entry);
		lane(entry.item().rank(), eligible).add(entry, eligible);
	}

	private Lane<W> lane(Rank rank, List<String> eligible) {
		Map<Set<String>, Lane<W>> ofRank = this.lanes.get(rank);
		Set<String> key = Set.copyOf(eligible);
		Lane<W> lane = ofRank.get(key);
		if (lane == null) {
			if (ofRank.size() >= LANE_LIMIT) {
				ofRank.values().removeIf((present) -> present.queue().isEmpty());
			}
			lane = new Lane<>(rank, key);
			ofRank.put(key, lane);
		}
		return lane;
	}

	// A slot is idle if the work that waits for it already leaves it free.
	private boolean hasIdleSlot(List<String> names) {
		int idle = 0;
		for (String name : names) {
			idle += Math.max(0, slots(name) - running(name));
		}
		for (Map<Set<String>, Lane<W>> ofRank : this.lanes.values()) {
			for (Lane<W> lane : ofRank.values()) {
				boolean shared = !Collections.disjoint(lane.members(), names);
				idle -= shared ? lane.queue().size() : 0;
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

		private final Map<Rank, ServiceTime> serviceTimes = new EnumMap<>(Rank.class);

		private int slots;

		private int running;

		ServiceTime serviceTime(Rank rank) {
			return this.serviceTimes.computeIfAbsent(rank, (absent) -> new ServiceTime());
		}

	}

}
