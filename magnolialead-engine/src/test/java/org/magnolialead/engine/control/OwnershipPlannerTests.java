package org.magnolialead.engine.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.magnolialead.api.DaemonView;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.command.ControlCommand.AnnounceMember;
import org.magnolialead.api.command.ControlCommand.AssignOwner;
import org.magnolialead.api.command.ControlCommand.ConfirmPrimary;
import org.magnolialead.api.command.ControlCommand.ForgetDaemon;
import org.magnolialead.api.command.ControlCommand.RegisterDaemon;
import org.magnolialead.api.command.ControlCommand.ReleaseOwner;
import org.magnolialead.api.message.OwnedGroupReport;

/**
 * Guards against groups with two owners, groups without an owner, and unnecessary moves.
 */
class OwnershipPlannerTests {

	/**
	 * Start of the leadership in nanoseconds, chosen so that the clock overflows during
	 * the tests.
	 */
	private static final long START = Long.MAX_VALUE - TimeUnit.SECONDS.toNanos(4);

	private static final long STEP = TimeUnit.MILLISECONDS.toNanos(200);

	private final LeaseTable leases = new LeaseTable(LeaseTiming.DEFAULT, START);

	private final OwnershipPlanner planner = new OwnershipPlanner(START);

	private final Set<String> liveDaemons = new HashSet<>();

	private final Set<String> unreachableGroups = new HashSet<>();

	private final List<ControlCommand> history = new ArrayList<>();

	private ControlState state = ControlState.initial();

	private long now = START;

	/**
	 * Guards against a new leader that reassigns groups before the leases granted by the
	 * previous leader have expired.
	 */
	@Test
	void newLeaderWaitsForLeasesOfEarlierLeader() {
		registerDaemon("d1", "z1");
		createGroup("g1", "z1");
		apply(new AssignOwner("g1", "d1", 1));
		this.liveDaemons.remove("d1");
		registerDaemon("d2", "z1");
		runUntil(START + TimeUnit.MILLISECONDS.toNanos(2_750));
		TestChecks.checkEqual("d1", owner("g1"), this.history);
		advance(3);
		TestChecks.checkEqual("d2", owner("g1"), this.history);
		TestChecks.checkEqual(3, this.state.group("g1").orElseThrow().ownerEpoch(), this.history);
	}

	/**
	 * Guards against a lease that is granted while the daemon is being removed.
	 */
	@Test
	void suspendedDaemonReceivesNoLease() {
		this.leases.suspend("d1", "i");
		TestChecks.check(!this.leases.grant("d1", "i", 1, START), "suspended");
		TestChecks.check(this.leases.grant("d1", "other", 1, START), "other incarnation");
		this.leases.resume("d1", "i");
		TestChecks.check(this.leases.grant("d1", "i", 1, START), "resumed");
		long last = START + TimeUnit.MILLISECONDS.toNanos(2_750);
		TestChecks.check(!this.leases.hasProvablyExpired("d1", "i", last), "at the deadline");
		TestChecks.check(this.leases.hasProvablyExpired("d1", "i", last + 1), "after the deadline");
	}

	/**
	 * Guards against uneven assignment, and against owners in another availability zone
	 * than the primary.
	 */
	@Test
	void groupsAreBalancedAndPreferZoneOfPrimary() {
		registerDaemon("d1", "z1");
		registerDaemon("d2", "z2");
		registerDaemon("d3", "z3");
		for (int number = 0; number < 9; number++) {
			createGroup("g" + number, "z" + (1 + number % 3));
		}
		advance(10);
		TestChecks.checkEqual(Map.of("d1", 3, "d2", 3, "d3", 3), groupsPerOwner(), this.history);
		this.state.groups()
			.forEach((name, group) -> TestChecks.checkEqual(group.owner().substring(1),
					group.members().get("m1").availabilityZone().substring(1), name));
	}

	/**
	 * Guards against a new daemon that is assigned no groups, against endless moves, and
	 * against groups of a failed daemon that remain without an owner.
	 */
	@Test
	void groupsAreRebalancedOnceWhenDaemonsJoinAndFail() {
		registerDaemon("d1", "z1");
		registerDaemon("d2", "z2");
		for (int number = 0; number < 40; number++) {
			createGroup("g" + number, "z1");
		}
		advance(10);
		registerDaemon("d3", "z3");
		advance(60);
		groupsPerOwner().values().forEach((count) -> TestChecks.check(count == 13 || count == 14, groupsPerOwner()));
		int settled = this.history.size();
		advance(60);
		TestChecks.checkEqual(settled, this.history.size(), this.history);
		this.liveDaemons.remove("d1");
		advance(20);
		TestChecks.checkEqual(Map.of("d2", 20, "d3", 20), groupsPerOwner(), groupsPerOwner());
	}

	/**
	 * Guards against a group that remains with, or moves back to, an owner that cannot
	 * reach it.
	 */
	@Test
	void unreachableGroupMovesToDaemonThatReachesIt() {
		registerDaemon("d1", "z1");
		registerDaemon("d2", "z2");
		createGroup("g1", "z1");
		advance(10);
		this.unreachableGroups.add("d1/g1");
		advance(9);
		TestChecks.checkEqual("d1", owner("g1"), this.history);
		advance(30);
		TestChecks.checkEqual("d2", owner("g1"), this.history);
		createGroup("g2", "z2");
		createGroup("g3", "z2");
		advance(60);
		TestChecks.checkEqual("d2", owner("g1"), this.history);
	}

	/**
	 * Guards against endless moves of a group whose members have all failed.
	 */
	@Test
	void groupThatNoDaemonReachesMovesLimitedTimes() {
		for (int number = 0; number < 6; number++) {
			registerDaemon("d" + number, "z1");
			this.unreachableGroups.add("d" + number + "/g1");
		}
		createGroup("g1", "z1");
		advance(250);
		long assignments = this.history.stream().filter(AssignOwner.class::isInstance).count();
		// One assignment sets up the group, and the next gives it its first owner.
		TestChecks.checkEqual(2 + OwnershipPlanner.MAXIMUM_AVOIDED_DAEMONS, assignments, this.history);
	}

	private void advance(int steps) {
		for (int step = 0; step < steps; step++) {
			this.now += STEP;
			List<DaemonView> daemons = new ArrayList<>();
			this.state.daemons().forEach((name, daemon) -> daemons.add(daemon));
			daemons.stream().filter((daemon) -> this.liveDaemons.contains(daemon.daemon())).forEach(this::heartbeat);
			this.planner.dueCommands(this.state, this.leases, this.now).forEach(this::applyDue);
		}
	}

	private void runUntil(long time) {
		while (this.now + STEP - time <= 0) {
			advance(1);
		}
	}

	private void heartbeat(DaemonView daemon) {
		this.leases.grant(daemon.daemon(), daemon.incarnation(), 0, this.now);
		List<GroupView> owned = new ArrayList<>();
		this.state.groups().forEach((name, group) -> owned.add(group));
		owned.removeIf((group) -> !group.owner().equals(daemon.daemon()));
		for (GroupView group : owned) {
			int reachable = this.unreachableGroups.contains(daemon.daemon() + "/" + group.group()) ? 0 : 3;
			this.planner.report(this.state, daemon.daemon(),
					new OwnedGroupReport(group.group(), group.ownerEpoch(), false, reachable), this.now);
			if (group.releaseRequested()) {
				apply(new ReleaseOwner(group.group(), group.ownerEpoch()));
			}
		}
	}

	private void applyDue(ControlCommand command) {
		if (command instanceof ForgetDaemon forget) {
			TestChecks.check(this.leases.hasProvablyExpired(forget.daemon(), forget.incarnation(), this.now), command);
		}
		apply(command);
	}

	private void apply(ControlCommand command) {
		this.history.add(command);
		ApplyResult applied = this.state.apply(command);
		TestChecks.check(applied.result().isAccepted(), command + " " + applied.result());
		this.state = applied.state();
	}

	private void registerDaemon(String name, String zone) {
		this.liveDaemons.add(name);
		apply(new RegisterDaemon(name, "i", "h:1", zone, false));
	}

	private void createGroup(String name, String zone) {
		apply(new AnnounceMember(new MemberDescription(name, "m1", "h:1", zone, 2, 20, false)));
		apply(new RegisterDaemon("setup", "i", "h:1", "z0", false));
		apply(new AssignOwner(name, "setup", 0));
		apply(new ConfirmPrimary(name, 1, 1, "m1"));
		apply(new ForgetDaemon("setup", "i"));
	}

	private String owner(String group) {
		return this.state.group(group).orElseThrow().owner();
	}

	private Map<String, Integer> groupsPerOwner() {
		Map<String, Integer> counts = new HashMap<>();
		this.state.groups().forEach((name, group) -> counts.merge(group.owner(), 1, Integer::sum));
		return counts;
	}

}
