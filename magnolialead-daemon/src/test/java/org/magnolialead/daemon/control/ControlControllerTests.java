package org.magnolialead.daemon.control;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.AccountTable;
import org.magnolialead.api.ClientAccount;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.RateLimit;
import org.magnolialead.api.RouteTable;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.command.ControlCommand.AnnounceMember;
import org.magnolialead.api.command.ControlCommand.BeginRequest;
import org.magnolialead.api.command.ControlCommand.ChangeConfiguration;
import org.magnolialead.api.command.ControlCommand.ForgetDaemon;
import org.magnolialead.api.command.ControlCommand.RegisterDaemon;
import org.magnolialead.api.message.HeartbeatAnswer;
import org.magnolialead.api.message.HeartbeatRequest;
import org.magnolialead.api.message.OwnedGroupReport;
import org.magnolialead.api.message.QuotaAnswer;
import org.magnolialead.api.message.QuotaDemand;
import org.magnolialead.api.message.QuotaGrant;
import org.magnolialead.api.message.QuotaRequest;
import org.magnolialead.api.message.SubmitCommandAnswer;
import org.magnolialead.api.message.SubmitCommandRequest;

/**
 * Tests of {@link ControlController}: leases and decisions must not overlap with those of
 * another leader or owner.
 */
class ControlControllerTests {

	private static final MemberDescription MEMBER = new MemberDescription("g", "m1", "h:1", "z1", 2, 20, false);

	private final ControlStateMachine machine = new ControlStateMachine();

	private final ManualCommandLog log = new ManualCommandLog(this.machine);

	private long now = Long.MAX_VALUE - TimeUnit.SECONDS.toNanos(5);

	private long wallClock = 1_000_000;

	private ControlController controller;

	@BeforeEach
	void createController() {
		this.controller = new ControlController(ControlSettings.defaults("c1"), this.log, this.machine, () -> this.now,
				() -> this.wallClock);
		this.log.becomeLeader(this.now);
	}

	@AfterEach
	void closeController() {
		this.controller.close();
	}

	/**
	 * Guards against a group that is left without an owner, and against an owner that
	 * receives its lease before the view with its groups.
	 */
	@Test
	void daemonIsRegisteredAndOwnsAnnouncedGroup() {
		HeartbeatAnswer first = heartbeat("d1", "i1", 0, List.of(), List.of(MEMBER));
		TestChecks.checkEqual(2_500, first.leaseMilliseconds(), first);
		advance(6, "d1", "i1");
		GroupView group = group();
		TestChecks.checkEqual("d1", group.owner(), group);
		FleetView view = FleetView.EMPTY.with(heartbeat("d1", "i1", 0, List.of(), List.of()).change());
		TestChecks.checkEqual(this.machine.state().view(), view, "complete view");
		TestChecks.checkEqual(null, heartbeat("d1", "i1", view.version(), List.of(), List.of(MEMBER)).change(),
				"unchanged view");
		TestChecks.checkEqual(1, this.log.count(AnnounceMember.class), this.log.committed());
		TestChecks.checkEqual(1, this.log.count(RegisterDaemon.class), this.log.committed());
	}

	/**
	 * Guards against two owners of a group when a heartbeat arrives between the decision
	 * to forget a daemon and its commit.
	 */
	@Test
	void daemonBeingForgottenReceivesNoLease() {
		createOwnedGroup();
		long before = this.machine.state().viewVersion();
		this.now += TimeUnit.MILLISECONDS.toNanos(2_751);
		this.log.holdCommits();
		this.controller.tick();
		TestChecks.checkEqual(0, heartbeat("d1", "i1", before, List.of(), List.of()).leaseMilliseconds(), "suspended");
		this.log.commitPending();
		TestChecks.checkEqual("", group().owner(), group());
		HeartbeatAnswer returned = heartbeat("d1", "i1", before, List.of(), List.of());
		TestChecks.check(returned.leaseMilliseconds() > 0, "registered again");
		TestChecks.checkEqual("", returned.change().groups().get(0).owner(), "released group comes with the lease");
	}

	/**
	 * Guards against a command of an earlier leader that forgets a daemon after the new
	 * leader has granted it a lease.
	 */
	@Test
	void newLeaderAppliesEarlierCommandsBeforeGrantingLeases() {
		createOwnedGroup();
		long before = this.machine.state().viewVersion();
		this.now += TimeUnit.MILLISECONDS.toNanos(2_751);
		this.log.holdCommits();
		this.controller.tick();
		List<ControlCommand> uncommitted = this.log.loseLeadership();
		TestChecks.check(uncommitted.contains(new ForgetDaemon("d1", "i1")), uncommitted);
		this.log.becomeLeader(this.now);
		uncommitted.forEach(this.log::submit);
		CompletableFuture<HeartbeatAnswer> answer = this.controller
			.heartbeat(request("d1", "i1", before, List.of(), List.of()));
		TestChecks.check(!answer.isDone(), "no answer before the earlier commands are applied");
		this.log.commitPending();
		TestChecks.checkEqual("", answer.join().change().groups().get(0).owner(), answer.join());
	}

	/**
	 * Guards against a new leader that reassigns groups while leases of the earlier
	 * leader are still valid.
	 */
	@Test
	void newLeaderKeepsOwnersForOneLease() {
		createOwnedGroup();
		this.log.loseLeadership();
		this.now += TimeUnit.SECONDS.toNanos(60);
		this.log.becomeLeader(this.now);
		advance(13, "d2", "i1");
		TestChecks.checkEqual("d1", group().owner(), group());
		advance(3, "d2", "i1");
		TestChecks.checkEqual("d2", group().owner(), group());
	}

	/**
	 * Guards against a lease granted by a member that has lost its authority.
	 */
	@Test
	void noLeaseWithoutAuthority() {
		createOwnedGroup();
		this.log.loseLeadership();
		TestChecks.checkEqual(0, heartbeat("d1", "i1", 0, List.of(), List.of()).leaseMilliseconds(), "no authority");
		SubmitCommandAnswer answer = submit(new ChangeConfiguration("r", 0, null, null, null, 5));
		TestChecks.checkEqual(ErrorCode.NOT_LEADER, answer.error(), answer);
	}

	/**
	 * Guards against a restarted process that acts while its suspended predecessor may
	 * still hold a lease.
	 */
	@Test
	void newIncarnationWaitsForLeaseOfOldOne() {
		createOwnedGroup();
		advance(13, "d1", "i2");
		TestChecks.checkEqual("i1", this.machine.state().daemon("d1").orElseThrow().incarnation(), "old incarnation");
		TestChecks.checkEqual(0, heartbeat("d1", "i2", 0, List.of(), List.of()).leaseMilliseconds(), "lease runs");
		advance(8, "d1", "i2");
		TestChecks.checkEqual("i2", this.machine.state().daemon("d1").orElseThrow().incarnation(), "new incarnation");
		TestChecks.checkEqual(2, group().ownerEpoch(), group());
		TestChecks.checkEqual(0, heartbeat("d1", "i1", 0, List.of(), List.of()).leaseMilliseconds(), "old process");
	}

	/**
	 * Guards against a released group that remains with its owner, and against a delayed
	 * report that releases a later ownership.
	 */
	@Test
	void releasedGroupMovesAndDelayedReportIsIgnored() {
		createOwnedGroup();
		OwnedGroupReport released = new OwnedGroupReport("g", 1, true, 1);
		heartbeat("d1", "i1", 0, List.of(released), List.of());
		TestChecks.checkEqual("", group().owner(), group());
		advance(2, "d1", "i1");
		TestChecks.checkEqual(2, group().ownerEpoch(), group());
		heartbeat("d1", "i1", 0, List.of(released), List.of());
		TestChecks.checkEqual("d1", group().owner(), group());
	}

	/**
	 * Guards against callers that submit commands reserved for the leader.
	 */
	@Test
	void commandsReservedForLeaderAreRejected() {
		SubmitCommandAnswer answer = submit(new ForgetDaemon("d1", "i1"));
		TestChecks.checkEqual(ErrorCode.BAD_REQUEST, answer.result().error(), answer);
	}

	/**
	 * Guards against a wall clock step that removes request records early, so that
	 * requests run twice.
	 */
	@Test
	void wallClockStepRemovesNoRequest() {
		createOwnedGroup();
		submit(new BeginRequest("g", 1, 1, "k", "x", 0));
		this.wallClock += TimeUnit.DAYS.toMillis(400);
		this.log.loseLeadership();
		this.log.becomeLeader(this.now);
		advance(700, "d1", "i1");
		TestChecks.check(this.machine.state().request("g", "k").isPresent(), "forgotten early");
		this.now += TimeUnit.DAYS.toNanos(1) + TimeUnit.MINUTES.toNanos(1);
		this.controller.tick();
		TestChecks.check(this.machine.state().request("g", "k").isEmpty(), "kept for too long");
	}

	/**
	 * Guards against a snapshot that omits part of the state.
	 */
	@Test
	void snapshotRestoresState() {
		createOwnedGroup();
		submit(new BeginRequest("g", 1, 1, "k", "x", 0));
		SubmitCommandAnswer first = submit(new ChangeConfiguration("r", 0, null, null, null, 5));
		submit(new ChangeConfiguration("s", 1, null, null, null, 6));
		ControlStateMachine restored = new ControlStateMachine();
		restored.restore(this.machine.snapshot().get());
		TestChecks.checkEqual(this.machine.state().view(), restored.state().view(), "view");
		TestChecks.checkEqual(this.machine.state().request("g", "k"), restored.state().request("g", "k"), "request");
		TestChecks.checkEqual(first.result(), restored.apply(new ChangeConfiguration("r", 0, null, null, null, 5)),
				"recorded answer");
		TestChecks.checkEqual(this.machine.state().ledger().time(), restored.state().ledger().time(), "ledger time");
	}

	private void createOwnedGroup() {
		heartbeat("d1", "i1", 0, List.of(), List.of(MEMBER));
		advance(6, "d1", "i1");
		TestChecks.checkEqual("d1", group().owner(), group());
	}

	private void advance(int steps, String daemon, String incarnation) {
		for (int step = 0; step < steps; step++) {
			this.now += TimeUnit.MILLISECONDS.toNanos(200);
			heartbeat(daemon, incarnation, this.machine.state().viewVersion(), List.of(), List.of());
			this.controller.tick();
		}
	}

	/**
	 * Guards against tokens from a member that is not the leader, or whose state lacks
	 * the commands of earlier leaders.
	 */
	@Test
	void onlyAReadyLeaderGrantsTokens() {
		QuotaRequest request = new QuotaRequest("d1", "i1", List.of(new QuotaDemand("a", 1, 0, 0)));
		RouteTable table = new RouteTable(1, Map.of(), Map.of(), Map.of(), 1,
				new AccountTable(Map.of("a", new ClientAccount("a", List.of(), new RateLimit(10, 100)))), "");
		this.log.submit(new ControlCommand.ReplaceRoutes(table));
		TestChecks.checkEqual(List.of(new QuotaGrant("a", 1, 0, 0.2)), this.controller.grantTokens(request).grants(),
				"granted");
		this.log.loseLeadership();
		TestChecks.checkEqual(QuotaAnswer.notLeader("c1:1"), this.controller.grantTokens(request), "no authority");
		this.log.holdCommits();
		this.log.becomeLeader(this.now);
		TestChecks.checkEqual(QuotaAnswer.notLeader("c1:1"), this.controller.grantTokens(request), "not ready");
		this.log.commitPending();
		TestChecks.check(this.controller.grantTokens(request).leader(), "ready");
	}

	/**
	 * Guards against tokens from a leader that lost its authority while it computed the
	 * answer.
	 */
	@Test
	void leaderThatLosesAuthorityMeanwhileGrantsNothing() {
		QuotaRequest request = new QuotaRequest("d1", "i1", List.of());
		AtomicBoolean losing = new AtomicBoolean();
		try (ControlController losingController = new ControlController(ControlSettings.defaults("c1"), this.log,
				this.machine, () -> {
					if (losing.get()) {
						this.log.loseLeadership();
					}
					return this.now;
				}, () -> this.wallClock)) {
			TestChecks.check(losingController.grantTokens(request).leader(), "leader");
			losing.set(true);
			TestChecks.checkEqual(QuotaAnswer.notLeader("c1:1"), losingController.grantTokens(request), "lost");
		}
	}

	private HeartbeatAnswer heartbeat(String daemon, String incarnation, long viewVersion,
			List<OwnedGroupReport> reports, List<MemberDescription> announcements) {
		return this.controller.heartbeat(request(daemon, incarnation, viewVersion, reports, announcements)).join();
	}

	private static HeartbeatRequest request(String daemon, String incarnation, long viewVersion,
			List<OwnedGroupReport> reports, List<MemberDescription> announcements) {
		return new HeartbeatRequest(daemon, incarnation, "h:1", "z1", false, viewVersion, viewVersion, reports,
				announcements);
	}

	private SubmitCommandAnswer submit(ControlCommand command) {
		return this.controller.submit(new SubmitCommandRequest(command)).join();
	}

	private GroupView group() {
		return this.machine.state().group("g").orElseThrow();
	}

}
