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
 * Assigns groups to entry daemons on behalf of one leader during one leadership. Not
 * thread-safe.
 * <p>
 * Ownership ends only if the owner reports that it has released the group, or if every
 * lease of the owner has provably expired and the owner is removed with all its groups.
 */
public final class OwnershipPlanner {

	/**
	 * Time from the start of a leadership until groups are assigned, in nanoseconds.
	 * Within five heartbeats every live daemon reports, so that the first one to report
	 * is not assigned all groups.
	 */
	static final long ASSIGNMENT_DELAY_NANOSECONDS = 1_000_000_000L;

	/**
	 * Time without a reachable member after which a group moves to another daemon, in
	 * nanoseconds.
	 */
	static final long UNREACHABLE_TIMEOUT_NANOSECONDS = 2_000_000_000L;

	/**
	 * Minimum time between two moves of a group, in nanoseconds.
	 */
	static final long MOVE_INTERVAL_NANOSECONDS = 5_000_000_000L;

	/**
	 * Time during which a group is not assigned to a daemon that could not reach it, in
	 * nanoseconds.
	 */
	static final long AVOIDANCE_PERIOD_NANOSECONDS = 60_000_000_000L;

	/**
	 * Maximum number of daemons from which a group is moved because they cannot reach it.
	 * If the next owner cannot reach it either, its members have probably failed, and
	 * another move would not help.
	 */
	static final int MAXIMUM_AVOIDED_DAEMONS = 3;

	/**
	 * Maximum number of groups that move at the same time for rebalancing.
	 */
	static final int MAXIMUM_CONCURRENT_MOVES = 8;

	private final long assignmentStart;

	private final Map<String, GroupTracker> trackers = new HashMap<>();

	/**
	 * Creates the planner of a new leader.
	 * @param leaderSince when the leadership began, in nanoseconds
	 */
	public OwnershipPlanner(long leaderSince) {
		this.assignmentStart = leaderSince + ASSIGNMENT_DELAY_NANOSECONDS;
	}

	/**
	 * Records the report of an owner about a group. Reports of former owners are ignored.
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
		GroupTracker tracker = this.trackers.get(report.group());
		if (report.reachableMembers() > 0) {
			if (tracker != null) {
				tracker.recordReachable(daemon);
			}
			return;
		}
		if (tracker == null) {
			tracker = new GroupTracker();
			this.trackers.put(report.group(), tracker);
		}
		tracker.recordUnreachable(report.ownerEpoch(), now);
	}

	/**
	 * Returns the commands that are due to remove daemons and to assign or move groups.
	 * @param state present state
	 * @param leases leases granted by this leader
	 * @param now present time in nanoseconds
	 * @return the commands; before submitting them, the caller must suspend the leases of
	 * the daemons that they remove
	 */
	public List<ControlCommand> dueCommands(ControlState state, LeaseTable leases, long now) {
		List<ControlCommand> commands = new ArrayList<>();
		Map<String, Candidate> candidates = new TreeMap<>();
		state.daemons().forEach((name, daemon) -> {
			if (leases.hasProvablyExpired(name, daemon.incarnation(), now)) {
				commands.add(new ForgetDaemon(name, daemon.incarnation()));
			}
			else if (leases.isLive(daemon, now) && !daemon.draining()) {
				candidates.put(name, new Candidate(daemon));
			}
		});
		if (now - this.assignmentStart < 0 || candidates.isEmpty()) {
			return commands;
		}
		List<GroupView> groups = new ArrayList<>();
		state.groups().forEach((name, group) -> groups.add(group));
		groups.sort(Comparator.comparing(GroupView::group));
		countOwnedGroups(groups, candidates);
		assignUnownedGroups(groups, candidates, commands, now);
		moveUnreachable(groups, candidates, commands, now);
		rebalance(groups, candidates, commands, now);
		return commands;
	}

	private static void countOwnedGroups(List<GroupView> groups, Map<String, Candidate> candidates) {
		for (GroupView group : groups) {
			Candidate owner = candidates.get(group.owner());
			if (owner != null && !group.releaseRequested()) {
				owner.groupCount++;
			}
		}
	}

	private void assignUnownedGroups(List<GroupView> groups, Map<String, Candidate> candidates,
			List<ControlCommand> commands, long now) {
		for (GroupView group : groups) {
			if (group.owner().isEmpty() && !group.members().isEmpty()) {
				Candidate chosen = chooseOwner(group, candidates, now);
				chosen.groupCount++;
				commands.add(new AssignOwner(group.group(), chosen.daemon.daemon(), group.ownerEpoch()));
				trackerOf(group).recordMove(now);
			}
		}
	}

	private Candidate chooseOwner(GroupView group, Map<String, Candidate> candidates, long now) {
		Set<String> avoided = trackerOf(group).avoided(now);
		boolean allAvoided = avoided.containsAll(candidates.keySet());
		String zone = primaryZone(group);
		Candidate best = null;
		for (Candidate candidate : candidates.values()) {
			boolean allowed = allAvoided || !avoided.contains(candidate.daemon.daemon());
			if (allowed && (best == null || candidate.isPreferredTo(best, zone))) {
				best = candidate;
			}
		}
		return best;
	}

	private void moveUnreachable(List<GroupView> groups, Map<String, Candidate> candidates,
			List<ControlCommand> commands, long now) {
		for (GroupView group : groups) {
			GroupTracker tracker = this.trackers.get(group.group());
			if (tracker == null || !isMovable(group, now) || !tracker.isUnreachable(group.ownerEpoch(), now)) {
				continue;
			}
			Set<String> avoided = tracker.avoided(now);
			avoided.add(group.owner());
			boolean otherCandidate = !avoided.containsAll(candidates.keySet());
			if (otherCandidate && avoided.size() <= MAXIMUM_AVOIDED_DAEMONS) {
				tracker.avoid(group.owner(), now);
				requestRelease(group, candidates, commands, now);
			}
		}
	}

	private void rebalance(List<GroupView> groups, Map<String, Candidate> candidates, List<ControlCommand> commands,
			long now) {
		long moving = groups.stream().filter(GroupView::releaseRequested).count();
		Set<String> requested = new HashSet<>();
		while (moving + requested.size() < MAXIMUM_CONCURRENT_MOVES) {
			Candidate mostLoaded = candidates.values()
				.stream()
				.max(Comparator.comparingInt(Candidate::groupCount))
				.orElseThrow();
			Candidate leastLoaded = candidates.values()
				.stream()
				.min(Comparator.comparingInt(Candidate::groupCount))
				.orElseThrow();
			GroupView group = (mostLoaded.groupCount - leastLoaded.groupCount > 1)
					? selectGroupToMove(groups, mostLoaded, leastLoaded, requested, now) : null;
			if (group == null) {
				return;
			}
			requested.add(group.group());
			requestRelease(group, candidates, commands, now);
			leastLoaded.groupCount++;
		}
	}

	private GroupView selectGroupToMove(List<GroupView> groups, Candidate source, Candidate target,
			Set<String> requested, long now) {
		GroupView selected = null;
		for (GroupView group : groups) {
			boolean eligible = group.owner().equals(source.daemon.daemon()) && isMovable(group, now)
					&& !requested.contains(group.group())
					&& !trackerOf(group).avoided(now).contains(target.daemon.daemon());
			if (eligible && primaryZone(group).equals(target.daemon.availabilityZone())) {
				return group;
			}
			boolean inOwnerZone = primaryZone(group).equals(source.daemon.availabilityZone());
			if (eligible && (selected == null || !inOwnerZone)) {
				selected = group;
			}
		}
		return selected;
	}

	private void requestRelease(GroupView group, Map<String, Candidate> candidates, List<ControlCommand> commands,
			long now) {
		commands.add(new RequestRelease(group.group(), group.ownerEpoch()));
		trackerOf(group).recordMove(now);
		Candidate owner = candidates.get(group.owner());
		if (owner != null) {
			owner.groupCount--;
		}
	}

	// A group is not moved during a promotion, because the new owner would have to
	// restart the promotion.
	private boolean isMovable(GroupView group, long now) {
		return !group.owner().isEmpty() && !group.releaseRequested() && !GroupRules.hasReservedPromotion(group)
				&& !trackerOf(group).hasMovedRecently(now);
	}

	private GroupTracker trackerOf(GroupView group) {
		return this.trackers.computeIfAbsent(group.group(), (name) -> new GroupTracker());
	}

	private static String primaryZone(GroupView group) {
		return group.member(group.primary()).map(MemberDescription::availabilityZone).orElse("");
	}

	private static final class Candidate {

		private final DaemonView daemon;

		private int groupCount;

		Candidate(DaemonView daemon) {
			this.daemon = daemon;
		}

		int groupCount() {
			return this.groupCount;
		}

		boolean isPreferredTo(Candidate other, String zone) {
			if (this.groupCount != other.groupCount) {
				return this.groupCount < other.groupCount;
			}
			return this.daemon.availabilityZone().equals(zone) && !other.daemon.availabilityZone().equals(zone);
		}

	}

	private static final class GroupTracker {

		private final Map<String, Long> avoidDeadlines = new HashMap<>();

		private boolean unreachable;

		private long unreachableEpoch;

		private long unreachableDeadline;

		private boolean moved;

		private long nextMoveTime;

		// Other daemons are still avoided. The group could otherwise move back to one
		// that cannot reach it.
		void recordReachable(String daemon) {
			this.unreachable = false;
			this.avoidDeadlines.remove(daemon);
		}

		void recordUnreachable(long ownerEpoch, long now) {
			if (!this.unreachable || this.unreachableEpoch != ownerEpoch) {
				this.unreachable = true;
				this.unreachableEpoch = ownerEpoch;
				this.unreachableDeadline = now + UNREACHABLE_TIMEOUT_NANOSECONDS;
			}
		}

		boolean isUnreachable(long ownerEpoch, long now) {
			return this.unreachable && this.unreachableEpoch == ownerEpoch && now - this.unreachableDeadline >= 0;
		}

		void avoid(String daemon, long now) {
			this.avoidDeadlines.put(daemon, now + AVOIDANCE_PERIOD_NANOSECONDS);
		}

		Set<String> avoided(long now) {
			this.avoidDeadlines.values().removeIf((deadline) -> now - deadline >= 0);
			return new HashSet<>(this.avoidDeadlines.keySet());
		}

		void recordMove(long now) {
			this.moved = true;
			this.nextMoveTime = now + MOVE_INTERVAL_NANOSECONDS;
		}

		boolean hasMovedRecently(long now) {
			return this.moved && now - this.nextMoveTime < 0;
		}

	}

}
