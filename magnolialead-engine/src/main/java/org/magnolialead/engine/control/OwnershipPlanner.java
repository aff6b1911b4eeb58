package org.magnolialead.engine.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.magnolialead.api.DaemonView;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.command.ControlCommand.AssignOwner;
import org.magnolialead.api.command.ControlCommand.ForgetDaemon;
import org.magnolialead.api.command.ControlCommand.RequestRelease;
import org.magnolialead.api.message.OwnedGroupReport;

/**
 * Decisions of one leader, during one leadership, about who owns which group. Not safe
 * for concurrent use.
 * <p>
 * An ownership ends in two ways only: the owner reports that it has released the group,
 * or the owner's lease has surely run out and the owner is forgotten with all its groups.
 */
public final class OwnershipPlanner {

	/**
	 * Time after the start of a leadership before groups are assigned, in nanoseconds.
	 * Five heartbeats let every live daemon report, so that the first to report does not
	 * receive every group.
	 */
	static final long SETTLING_NANOSECONDS = 1_000_000_000L;

	/**
	 * Time without a reachable member after which a group moves, in nanoseconds.
	 */
	static final long UNREACHABLE_NANOSECONDS = 2_000_000_000L;

	/**
	 * Least time between two moves of a group, in nanoseconds.
	 */
	static final long MOVE_INTERVAL_NANOSECONDS = 5_000_000_000L;

	/**
	 * Time for which a daemon that could not reach a group is not chosen for it, in
	 * nanoseconds.
	 */
	static final long AVOID_NANOSECONDS = 60_000_000_000L;

	/**
	 * Number of daemons that find a group unreachable before it stays where it is. Its
	 * members are then probably gone, and a further move would not help.
	 */
	static final int MAXIMUM_AVOIDED_DAEMONS = 3;

	/**
	 * Number of groups that move at once to even out the load.
	 */
	static final int MAXIMUM_CONCURRENT_MOVES = 8;

	private final long settledAt;

	private final Map<String, GroupMemory> memories = new HashMap<>();

	/**
	 * Creates the rules of a new leader.
	 * @param leaderSince when the leadership began, in nanoseconds
	 */
	public OwnershipPlanner(long leaderSince) {
		this.settledAt = leaderSince + SETTLING_NANOSECONDS;
	}

	/**
	 * Takes note of an owner's report.
	 * @param state present state
	 * @param daemon name of the daemon, whose registered incarnation sent the report
	 * @param report the report
	 * @param now present time in nanoseconds
	 */
	public void report(ControlState state, String daemon, OwnedGroupReport report, long now) {
		GroupView group = state.groups().get(report.group());
		if (group == null || !group.owner().equals(daemon) || group.ownerEpoch() != report.ownerEpoch()) {
			return;
		}
		GroupMemory memory = this.memories.get(report.group());
		if (report.reachableMembers() > 0) {
			if (memory != null) {
				memory.reachedBy(daemon);
			}
			return;
		}
		if (memory == null) {
			memory = new GroupMemory();
			this.memories.put(report.group(), memory);
		}
		memory.unreachable(report.ownerEpoch(), now);
	}

	/**
	 * Returns the commands that are due.
	 * @param state present state
	 * @param leases leases of this leader
	 * @param now present time in nanoseconds
	 * @return the commands; the caller suspends the leases of daemons to forget before it
	 * submits them
	 */
	public List<ControlCommand> dueCommands(ControlState state, LeaseTable leases, long now) {
		List<ControlCommand> commands = new ArrayList<>();
		Map<String, Candidate> candidates = new TreeMap<>();
		state.daemons().forEach((name, daemon) -> {
			if (leases.hasSurelyExpired(name, daemon.incarnation(), now)) {
				commands.add(new ForgetDaemon(name, daemon.incarnation()));
			}
			else if (leases.isLive(daemon, now) && !daemon.draining()) {
				candidates.put(name, new Candidate(daemon));
			}
		});
		if (now - this.settledAt < 0 || candidates.isEmpty()) {
			return commands;
		}
		List<GroupView> groups = new ArrayList<>();
		state.groups().forEach((name, group) -> groups.add(group));
		groups.sort(Comparator.comparing(GroupView::group));
		countOwned(groups, candidates);
		assign(groups, candidates, commands, now);
		moveUnreachable(groups, candidates, commands, now);
		rebalance(groups, candidates, commands, now);
		return commands;
	}

	private static void countOwned(List<GroupView> groups, Map<String, Candidate> candidates) {
		for (GroupView group : groups) {
			Candidate owner = candidates.get(group.owner());
			if (owner != null && !group.releaseRequested()) {
				owner.count++;
			}
		}
	}

	private void assign(List<GroupView> groups, Map<String, Candidate> candidates, List<ControlCommand> commands,
			long now) {
		for (GroupView group : groups) {
			if (group.owner().isEmpty() && !group.members().isEmpty()) {
				Candidate chosen = choose(group, candidates, now);
				chosen.count++;
				commands.add(new AssignOwner(group.group(), chosen.daemon.daemon(), group.ownerEpoch()));
				memoryOf(group).moved(now);
			}
		}
	}

	private Candidate choose(GroupView group, Map<String, Candidate> candidates, long now) {
		Set<String> avoided = memoryOf(group).avoided(now);
		boolean allAvoided = avoided.containsAll(candidates.keySet());
		String zone = primaryZone(group);
		Candidate best = null;
		for (Candidate candidate : candidates.values()) {
			boolean allowed = allAvoided || !avoided.contains(candidate.daemon.daemon());
			if (allowed && (best == null || candidate.isBetterThan(best, zone))) {
				best = candidate;
			}
		}
		return best;
	}

	private void moveUnreachable(List<GroupView> groups, Map<String, Candidate> candidates,
			List<ControlCommand> commands, long now) {
		for (GroupView group : groups) {
			GroupMemory memory = this.memories.get(group.group());
			if (memory == null || !isMovable(group, now) || !memory.isUnreachable(group.ownerEpoch(), now)) {
				continue;
			}
			Set<String> avoided = memory.avoided(now);
			avoided.add(group.owner());
			boolean otherCandidate = !avoided.containsAll(candidates.keySet());
			if (otherCandidate && avoided.size() <= MAXIMUM_AVOIDED_DAEMONS) {
				memory.avoid(group.owner(), now);
				requestRelease(group, candidates, commands, now);
			}
		}
	}

	private void rebalance(List<GroupView> groups, Map<String, Candidate> candidates, List<ControlCommand> commands,
			long now) {
		long moving = groups.stream().filter(GroupView::releaseRequested).count();
		Set<String> requested = new HashSet<>();
		while (moving + requested.size() < MAXIMUM_CONCURRENT_MOVES) {
			Candidate most = candidates.values().stream().max(Comparator.comparingInt(Candidate::count)).orElseThrow();
			Candidate fewest = candidates.values()
				.stream()
				.min(Comparator.comparingInt(Candidate::count))
				.orElseThrow();
			GroupView group = (most.count - fewest.count > 1) ? pickToMove(groups, most, fewest, requested, now) : null;
			if (group == null) {
				return;
			}
			requested.add(group.group());
			requestRelease(group, candidates, commands, now);
			fewest.count++;
		}
	}

	private GroupView pickToMove(List<GroupView> groups, Candidate from, Candidate target, Set<String> requested,
			long now) {
		GroupView picked = null;
		for (GroupView group : groups) {
			boolean possible = group.owner().equals(from.daemon.daemon()) && isMovable(group, now)
					&& !requested.contains(group.group())
					&& !memoryOf(group).avoided(now).contains(target.daemon.daemon());
			if (possible && primaryZone(group).equals(target.daemon.availabilityZone())) {
				return group;
			}
			boolean nearOwner = primaryZone(group).equals(from.daemon.availabilityZone());
			if (possible && (picked == null || !nearOwner)) {
				picked = group;
			}
		}
		return picked;
	}

	private void requestRelease(GroupView group, Map<String, Candidate> candidates, List<ControlCommand> commands,
			long now) {
		commands.add(new RequestRelease(group.group(), group.ownerEpoch()));
		memoryOf(group).moved(now);
		Candidate owner = candidates.get(group.owner());
		if (owner != null) {
			owner.count--;
		}
	}

	// A group whose promotion is in progress stays, because a new owner would have to
	// start it again.
	private boolean isMovable(GroupView group, long now) {
		return !group.owner().isEmpty() && !group.releaseRequested() && !GroupRules.hasReservedPromotion(group)
				&& !memoryOf(group).hasMovedRecently(now);
	}

	private GroupMemory memoryOf(GroupView group) {
		return this.memories.computeIfAbsent(group.group(), (name) -> new GroupMemory());
	}

	private static String primaryZone(GroupView group) {
		return group.member(group.primary()).map(MemberDescription::availabilityZone).orElse("");
	}

	private static final class Candidate {

		private final DaemonView daemon;

		private int count;

		Candidate(DaemonView daemon) {
			this.daemon = daemon;
		}

		int count() {
			return this.count;
		}

		boolean isBetterThan(Candidate other, String zone) {
			if (this.count != other.count) {
				return this.count < other.count;
			}
			return this.daemon.availabilityZone().equals(zone) && !other.daemon.availabilityZone().equals(zone);
		}

	}

	private static final class GroupMemory {

		private final Map<String, Long> avoidUntil = new HashMap<>();

		private boolean unreachable;

		private long unreachableEpoch;

		private long unreachableDeadline;

		private boolean moved;

		private long nextMoveAt;

		// Other daemons stay avoided: the group would otherwise move back to one that
		// cannot reach it.
		void reachedBy(String daemon) {
			this.unreachable = false;
			this.avoidUntil.remove(daemon);
		}

		void unreachable(long ownerEpoch, long now) {
			if (!this.unreachable || this.unreachableEpoch != ownerEpoch) {
				this.unreachable = true;
				this.unreachableEpoch = ownerEpoch;
				this.unreachableDeadline = now + UNREACHABLE_NANOSECONDS;
			}
		}

		boolean isUnreachable(long ownerEpoch, long now) {
			return this.unreachable && this.unreachableEpoch == ownerEpoch && now - this.unreachableDeadline >= 0;
		}

		void avoid(String daemon, long now) {
			this.avoidUntil.put(daemon, now + AVOID_NANOSECONDS);
		}

		Set<String> avoided(long now) {
			this.avoidUntil.values().removeIf((deadline) -> now - deadline >= 0);
			return new HashSet<>(this.avoidUntil.keySet());
		}

		void moved(long now) {
			this.moved = true;
			this.nextMoveAt = now + MOVE_INTERVAL_NANOSECONDS;
		}

		boolean hasMovedRecently(long now) {
			return this.moved && now - this.nextMoveAt < 0;
		}

	}

}
