package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.DaemonView;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.FreshnessRule;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.Route;
import org.magnolialead.api.RouteTable;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.daemon.entry.CommandSubmitter;
import org.magnolialead.daemon.filter.DaemonLease;
import org.magnolialead.daemon.session.ClientStatement.Verb;
import org.magnolialead.engine.session.FencingToken;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of promotions by the daemon that owns the group.
 */
class PromotionControllerTests {

	private static final String DAEMON = "daemon-1";

	private static final String INCARNATION = "incarnation";

	private static final long EPOCH = 7;

	private final ManualLoop loop = new ManualLoop();

	private final FakeGroup group = new FakeGroup(this.loop, "a", "b", "c");

	private final SessionService service = new SessionService("daemon-1", "zone", this.loop, this.loop,
			this.loop::milliseconds, this.group, ForwardingLink.NONE);

	private final DaemonLease lease = new DaemonLease(this.loop.nanoseconds());

	private final List<ControlCommand> commands = new ArrayList<>();

	private final List<String> orders = new ArrayList<>();

	private final List<FencingToken> tokens = new ArrayList<>();

	private final PromotionController controller = new PromotionController(DAEMON, INCARNATION, this.service,
			this.lease, new RecordingControl(), this::promote);

	/** For each order, whether both replicas were paused when it was given. */
	private final List<Boolean> pausedAtOrder = new ArrayList<>();

	/** For each order, whether no member was the primary when it was given. */
	private final List<Boolean> demotedAtOrder = new ArrayList<>();

	private FleetView fleet;

	private PromotionService.Result answer = PromotionService.Result.ACCEPTED;

	@BeforeEach
	void start() {
		this.service.start();
		publish();
		this.lease.renew(this.loop.nanoseconds() + 1_000_000_000_000L);
		this.loop.advance(1_000);
	}

	private void publish(String... leaving) {
		publish(0, leaving);
	}

	private void publish(int synchronousReplicas, String... leaving) {
		publish(this.group.view(DAEMON, EPOCH, "a", leaving), synchronousReplicas);
	}

	private void publish(GroupView view, int synchronousReplicas) {
		Route route = new Route("primary", FakeGroup.NAME, FreshnessRule.LATEST, 0, 0, 800);
		RouteTable table = new RouteTable(1, Map.of("primary", route), Map.of(FakeGroup.NAME, 18),
				Map.of(FakeGroup.NAME, synchronousReplicas), 3_000, null, "");
		FleetConfiguration initial = FleetConfiguration.initial();
		FleetConfiguration configuration = new FleetConfiguration(1, initial.profiles(), initial.rankFloors(),
				initial.queueLimit(), table);
		DaemonView daemon = new DaemonView(DAEMON, 1, INCARNATION, "10.0.0.9:1", "zone", false);
		FleetView fleet = new FleetView(1, configuration, Map.of(FakeGroup.NAME, view), Map.of(DAEMON, daemon));
		this.fleet = fleet;
		this.service.viewChanged(fleet);
		this.controller.viewChanged(fleet);
	}

	private CompletableFuture<PromotionService.Result> promote(String name, String member, String holder,
			FencingToken fencingToken) {
		this.orders.add("%s %s %s".formatted(name, member, holder));
		this.tokens.add(fencingToken);
		this.pausedAtOrder.add(this.group.member("b").isPaused() && this.group.member("c").isPaused());
		this.demotedAtOrder.add(!this.group.member("a").isPrimary() && !this.group.member("b").isPrimary()
				&& !this.group.member("c").isPrimary());
		if (this.answer == PromotionService.Result.ACCEPTED && !this.group.member(member).isPrimary()) {
			this.group.promote(member);
		}
		return CompletableFuture.completedFuture(this.answer);
	}

	/**
	 * Guards against an order without an answer that the platform executes after a later
	 * one, because both have the same fencing token. Acknowledged commits were lost then.
	 */
	@AfterEach
	void eachOrderHasAHigherTokenThanAllBefore() {
		assertThat(this.tokens).isSorted().doesNotHaveDuplicates().allMatch((token) -> token.number() > EPOCH);
	}

	@Test
	void healthyPrimaryIsNotReplaced() {
		this.loop.advance(10_000);
		assertThat(this.orders).isEmpty();
	}

	@Test
	void unresponsivePrimaryIsReplacedByTheMostUpToDateMember() {
		this.group.member("a").position(1, 9);
		this.group.member("b").position(1, 5);
		this.group.member("c").position(1, 8);
		this.group.member("a").stopResponding();
		this.loop.advance(4_000);
		assertThat(this.orders).containsExactly("group c daemon-1");
		assertThat(this.commands).anyMatch(ControlCommand.ReservePromotion.class::isInstance);
		TestClient client = new TestClient(this.loop, this.service, "primary");
		assertThat(client.send(Verb.WRITE, "1", "x").isDone()).isTrue();
	}

	/**
	 * Guards against waiting for an answer of a member that refuses connections. In
	 * measurements the gap in writes after a crash was 1.4 s, half of it due to this
	 * wait.
	 */
	@Test
	void crashedPrimaryIsReplacedWithoutWaitingForItsAnswer() {
		this.group.member("a").crash();
		this.loop.advance(700);
		assertThat(this.orders).hasSize(1);
	}

	/**
	 * Guards against a primary that no daemon accepts because its last commit has an
	 * earlier term than a commit that was rolled back. No further commits were possible
	 * then.
	 */
	@Test
	void primaryWhoseLogEndsInAnEarlierTermIsAccepted() {
		this.group.member("a").position(5, 9);
		TestClient client = new TestClient(this.loop, this.service, "primary");
		assertThat(client.send(Verb.WRITE, "1", "x").isDone()).isTrue();
		this.group.member("b").position(1, 4);
		this.group.member("c").position(1, 3);
		this.group.member("a").crash();
		this.loop.advance(1_500);
		assertThat(this.orders).hasSize(1);
		assertThat(client.send(Verb.WRITE, "2", "y").isDone()).isTrue();
	}

	@Test
	void nothingIsOrderedWithoutALease() {
		PromotionController controllerWithoutLease = new PromotionController(DAEMON, INCARNATION, this.service,
				new DaemonLease(this.loop.nanoseconds()), new RecordingControl(), this::promote);
		this.controller.drain();
		controllerWithoutLease.viewChanged(this.fleet);
		this.group.member("a").crash();
		this.loop.advance(5_000);
		assertThat(this.orders).isEmpty();
	}

	@Test
	void leavingPrimaryIsReplacedWithoutLosingCommits() {
		this.group.member("a").position(1, 9);
		this.group.member("b").position(1, 9);
		this.group.member("c").position(1, 4);
		publish("a");
		this.loop.advance(3_000);
		assertThat(this.orders).containsExactly("group b daemon-1");
		assertThat(this.group.member("b").position().index()).isGreaterThanOrEqualTo(9);
	}

	@Test
	void refusedOrderIsNotRepeatedImmediately() {
		this.answer = PromotionService.Result.REFUSED;
		this.group.member("a").crash();
		this.loop.advance(4_000);
		assertThat(this.orders).hasSizeBetween(1, 4);
	}

	/**
	 * Tests of a group whose commits are acknowledged once one replica has received them.
	 * Replica b lacks commits that replica c has.
	 */
	@Nested
	class SynchronousReplicas {

		private final FakeGroup.Member first = PromotionControllerTests.this.group.member("a");

		private final FakeGroup.Member late = PromotionControllerTests.this.group.member("b");

		private final FakeGroup.Member current = PromotionControllerTests.this.group.member("c");

		@BeforeEach
		void publishSynchronousReplica() {
			this.first.position(1, 9);
			this.late.position(1, 5);
			this.current.position(1, 9);
			publish(1);
		}

		private void requirePromoted(String member) {
			assertThat(PromotionControllerTests.this.orders).isNotEmpty()
				.allMatch(("group " + member + " daemon-1")::equals);
		}

		/**
		 * Guards against a late replica that is promoted because the connections to the
		 * other one are in use.
		 */
		@Test
		void replicaWhoseConnectionIsInUseIsAsked() {
			SessionService service = PromotionControllerTests.this.service;
			ManualLoop loop = PromotionControllerTests.this.loop;
			PooledConnection used = service.router(FakeGroup.NAME).pool("c").freeForInternalCommand().orElseThrow();
			used.acquire(loop.nanoseconds());
			loop.schedule(used::release, 1_200, TimeUnit.MILLISECONDS);
			this.first.crash();
			loop.advance(3_000);
			requirePromoted("c");
		}

		/**
		 * Guards against a late replica that is promoted because the queue of the other
		 * one is full for a moment.
		 */
		@Test
		void replicaThatRefusesItsStatusIsAskedAgain() {
			this.current.refuseStatuses(5);
			this.first.crash();
			PromotionControllerTests.this.loop.advance(3_000);
			requirePromoted("c");
		}

		/**
		 * Guards against the promotion of a late replica while the other one, which may
		 * hold the latest commits, does not answer.
		 */
		@Test
		void nothingIsOrderedWhileTooFewMembersAnswer() {
			this.current.stopResponding();
			this.first.crash();
			PromotionControllerTests.this.loop.advance(10_000);
			assertThat(PromotionControllerTests.this.orders).isEmpty();
			this.current.respondAgain();
			PromotionControllerTests.this.loop.advance(6_000);
			requirePromoted("c");
		}

		/**
		 * Guards against a late replica that is promoted although the former primary is
		 * back with its log.
		 */
		@Test
		void formerPrimaryThatIsAheadIsPromoted() {
			this.current.crash();
			this.first.crash();
			PromotionControllerTests.this.loop.advance(2_000);
			this.first.restart();
			PromotionControllerTests.this.loop.advance(6_000);
			requirePromoted("a");
		}

		/**
		 * Guards against a primary that only this daemon does not reach and that goes on
		 * acknowledging commits which the selected replica lacks.
		 */
		@Test
		void replicasArePausedBeforeTheOrder() {
			List<Boolean> paused = PromotionControllerTests.this.pausedAtOrder;
			this.first.partitioned(true);
			PromotionControllerTests.this.loop.advance(4_000);
			requirePromoted("c");
			assertThat(paused).isNotEmpty().containsOnly(true);
		}

		/**
		 * Guards against replicas that receive nothing for good after a promotion that
		 * did not take place, or after the owner that paused them has ended.
		 */
		@Test
		void replicasReceiveAgainIfThePrimaryStays() {
			PromotionControllerTests.this.answer = PromotionService.Result.REFUSED;
			this.first.partitioned(true);
			PromotionControllerTests.this.loop.advance(3_000);
			assertThat(this.current.isPaused()).isTrue();
			this.first.partitioned(false);
			PromotionControllerTests.this.loop.advance(5_000);
			assertThat(this.late.isPaused() || this.current.isPaused()).isFalse();
		}

		/**
		 * Guards against replicas that receive commits of the former primary while an
		 * order without an answer may still be executed.
		 */
		@Test
		void outstandingOrderIsRepeatedWhileTheReplicasStayPaused() {
			PromotionControllerTests.this.answer = PromotionService.Result.UNKNOWN;
			this.first.partitioned(true);
			PromotionControllerTests.this.loop.advance(3_000);
			this.first.partitioned(false);
			int ordered = PromotionControllerTests.this.orders.size();
			PromotionControllerTests.this.loop.advance(6_000);
			assertThat(PromotionControllerTests.this.orders).hasSizeGreaterThan(ordered);
			requirePromoted("c");
			assertThat(this.current.isPaused()).isTrue();
			PromotionControllerTests.this.answer = PromotionService.Result.ACCEPTED;
			PromotionControllerTests.this.loop.advance(6_000);
			assertThat(this.late.isPaused() || this.current.isPaused()).isFalse();
		}

		/**
		 * Guards against a leaving primary that is not demoted because its last commit
		 * has the term of an earlier primary. The commits that it acknowledged until its
		 * successor led were lost.
		 */
		@Test
		void newPrimaryWithoutCommitsIsDemotedBeforeItsSuccessorIsOrdered() {
			PromotionControllerTests test = PromotionControllerTests.this;
			this.late.position(1, 9);
			publish(1, "a");
			test.loop.advance(3_000);
			String successor = this.current.isPrimary() ? "c" : "b";
			publish(test.group.view(DAEMON, EPOCH, successor, successor), 1);
			test.loop.advance(3_000);
			assertThat(test.orders).hasSize(2);
			assertThat(test.demotedAtOrder).containsOnly(true);
		}

		/**
		 * Guards against the release of a primary whose own promotion may be executed
		 * again, because an order for it has no answer yet.
		 */
		@Test
		void leavingPrimaryIsNotReplacedWhileAnOrderForItHasNoAnswer() {
			PromotionControllerTests test = PromotionControllerTests.this;
			test.answer = PromotionService.Result.UNKNOWN;
			this.first.crash();
			test.loop.advance(2_000);
			test.group.promote("c");
			this.late.position(1, 9);
			publish(test.group.view(DAEMON, EPOCH, "a", "c"), 1);
			test.loop.advance(4_000);
			requirePromoted("c");
			assertThat(this.current.isPrimary()).isTrue();
			test.answer = PromotionService.Result.ACCEPTED;
			test.loop.advance(4_000);
			assertThat(test.orders).contains("group b daemon-1");
		}

		/**
		 * Guards against replicas that receive commits again although an earlier owner
		 * may have given an order without an answer.
		 */
		@Test
		void newOwnerRepeatsAnOrderThatIsNotConfirmed() {
			PromotionControllerTests test = PromotionControllerTests.this;
			GroupView view = test.group.view(DAEMON, EPOCH + 1, "a");
			publish(new GroupView(view.group(), 2, 1, "a", 2, "c", view.owner(), view.ownerEpoch(), view.members()), 1);
			test.loop.advance(3_000);
			requirePromoted("c");
			assertThat(test.demotedAtOrder).containsOnly(true);
		}

		/**
		 * Guards against a replica that stays paused because the command to receive
		 * commits again got no answer.
		 */
		@Test
		void resumptionIsRepeatedUntilTheReplicaHasAnswered() {
			PromotionControllerTests test = PromotionControllerTests.this;
			test.answer = PromotionService.Result.REFUSED;
			this.first.partitioned(true);
			test.loop.advance(3_000);
			this.late.stopResponding();
			this.first.partitioned(false);
			test.loop.advance(4_000);
			assertThat(this.late.isPaused()).isTrue();
			this.late.respondAgain();
			test.loop.advance(6_000);
			assertThat(this.late.isPaused()).isFalse();
		}

		/**
		 * Guards against a release of the primary that promotes a replica which has not
		 * received the log of the primary.
		 */
		@Test
		void replicaThatDoesNotCatchUpWithALeavingPrimaryIsNotPromoted() {
			this.current.position(1, 7);
			publish(1, "a");
			PromotionControllerTests.this.loop.advance(4_000);
			assertThat(PromotionControllerTests.this.orders).doesNotContain("group b daemon-1", "group c daemon-1");
		}

	}

	private final class RecordingControl implements CommandSubmitter {

		@Override
		public CompletableFuture<CommandResult> submit(ControlCommand command, long deadline) {
			PromotionControllerTests.this.commands.add(command);
			return CompletableFuture.completedFuture(CommandResult.accepted(1));
		}

		@Override
		public CompletableFuture<Object> query(Object query, long deadline) {
			return CompletableFuture.failedFuture(new IllegalStateException("no queries are expected"));
		}

	}

}
