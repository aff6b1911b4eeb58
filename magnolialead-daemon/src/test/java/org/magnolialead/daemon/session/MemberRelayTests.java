package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.DaemonView;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.FreshnessRule;
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
 * Tests of a daemon that is partitioned from a member which other daemons reach. The
 * daemon owns the group, so it could also promote another member.
 */
class MemberRelayTests {

	private static final String DAEMON = "daemon-1";

	/** Maximum time from a partition to the first answer through a relay. */
	private static final long RELAY_DETECTION_MILLISECONDS = 300;

	/** One less than the number that shows that the member is down. */
	private static final int FAILED_DIALS_OF_A_HEALTHY_MEMBER = 2;

	private final ManualLoop loop = new ManualLoop();

	private final FakeGroup group = new FakeGroup(this.loop, "a", "b", "c");

	private final SessionService service = new SessionService(DAEMON, "zone", this.loop, this.loop,
			this.loop::milliseconds, this.group, ForwardingLink.NONE);

	private final DaemonLease lease = new DaemonLease(this.loop.nanoseconds());

	private final List<String> orders = new ArrayList<>();

	private final PromotionController controller = new PromotionController(DAEMON, DAEMON, this.service, this.lease,
			new AcceptingControl(), this::promote);

	@BeforeEach
	void start() {
		this.service.start();
		FleetView view = view(4);
		this.service.viewChanged(view);
		this.controller.viewChanged(view);
		this.lease.renew(this.loop.nanoseconds() + 1_000_000_000_000L);
		this.loop.advance(1_100);
	}

	private FleetView view(int daemonCount) {
		Map<String, DaemonView> daemons = new HashMap<>();
		for (int number = 1; number <= daemonCount; number++) {
			String name = "daemon-" + number;
			daemons.put(name, new DaemonView(name, 1, name, "10.0.1." + number + ":1", "zone", false));
		}
		Map<String, Route> routes = Map.of("primary",
				new Route("primary", FakeGroup.NAME, FreshnessRule.LATEST, 0, 0, 800));
		RouteTable table = new RouteTable(1, routes, Map.of(FakeGroup.NAME, 18), 3_000, "");
		FleetConfiguration initial = FleetConfiguration.initial();
		FleetConfiguration configuration = new FleetConfiguration(1, initial.profiles(), initial.rankFloors(),
				initial.queueLimit(), table);
		return new FleetView(1, configuration, Map.of(FakeGroup.NAME, this.group.view(DAEMON, 1, "a")), daemons);
	}

	private CompletableFuture<PromotionService.Result> promote(String name, String member, String holder,
			FencingToken fencingToken) {
		this.orders.add(member);
		this.group.promote(member);
		return CompletableFuture.completedFuture(PromotionService.Result.ACCEPTED);
	}

	private TestClient client() {
		return new TestClient(this.loop, this.service, "primary");
	}

	/**
	 * Guards against a daemon that refuses all statements for a primary which other
	 * daemons reach. In measurements a third of the requests of half of the daemons
	 * failed until the partition ended.
	 */
	@Test
	void statementsReachAPartitionedPrimaryThroughARelay() {
		this.group.member("a").partitioned(true);
		assertThat(client().send(Verb.READ, "", "item", RELAY_DETECTION_MILLISECONDS).isDone()).isTrue();
		TestClient writer = client();
		assertThat(writer.send(Verb.BEGIN).isDone()).isTrue();
		assertThat(writer.send(Verb.WRITE, "item", "x").isDone()).isTrue();
		assertThat(writer.send(Verb.COMMIT).isDone()).isTrue();
		assertThat(this.group.executions()).allMatch((execution) -> execution.member().equals("a"));
	}

	/**
	 * Guards against a transaction that fails although none of its statements were sent.
	 * Its begin was the first command on a connection that no longer received answers.
	 */
	@Test
	void transactionBegunDuringAPartitionSucceeds() {
		this.group.member("a").partitioned(true);
		TestClient writer = client();
		writer.send(Verb.BEGIN);
		assertThat(writer.send(Verb.WRITE, "item", "x", RELAY_DETECTION_MILLISECONDS).isDone()).isTrue();
		assertThat(writer.send(Verb.COMMIT).isDone()).isTrue();
	}

	/**
	 * Guards against the replacement of a primary that serves all other daemons, which
	 * would roll back commits that the replicas have not received.
	 */
	@Test
	void partitionedOwnerDoesNotPromote() {
		this.group.member("a").partitioned(true);
		TestClient client = client();
		for (int second = 0; second < 6; second++) {
			client.send(Verb.READ, "", "item", 1_000);
		}
		assertThat(this.orders).isEmpty();
	}

	/**
	 * Guards against a daemon that keeps using relays after the partition has ended.
	 */
	@Test
	void directConnectionsAreUsedAfterThePartition() {
		this.group.member("a").partitioned(true);
		client().send(Verb.READ, "", "item", 2_000);
		assertThat(this.group.member("a").openConnections(true)).isPositive();
		this.group.member("a").partitioned(false);
		this.loop.advance(2_000);
		assertThat(this.group.member("a").openConnections(true)).isZero();
		assertThat(this.group.member("a").openConnections(false)).isPositive();
	}

	/**
	 * Guards against a healthy primary that counts as failed after a suspension of this
	 * VM. During the suspension it closes all connections of this daemon, which does not
	 * answer.
	 */
	@Test
	void simultaneousConnectionLossesCountOnce() {
		List<TestClient> clients = List.of(client(), client(), client());
		clients.forEach((holding) -> {
			holding.send(Verb.BEGIN);
			holding.send(Verb.WRITE, "item", "x", 100);
		});
		clients.forEach((holding) -> holding.send(Verb.WRITE, "item", "y", 0));
		assertThat(this.group.member("a").openConnections(false)).isEqualTo(3);
		this.group.member("a").closeConnections();
		this.loop.advance(1);
		assertThat(this.service.router(FakeGroup.NAME).pool("a").isUnreachable()).isFalse();
		this.loop.advance(2_000);
		assertThat(this.orders).isEmpty();
	}

	/**
	 * Guards against a primary that counts as failed because this daemon has refused its
	 * replies and closed the connections. The member has answered, so only the failed
	 * attempts to connect count.
	 */
	@Test
	void refusedReplyIsNoFailureOfTheMember() {
		FakeGroup.Member member = this.group.member("a");
		TestClient client = client();
		client.send(Verb.BEGIN);
		client.send(Verb.WRITE, "item", "x", 100);
		client.send(Verb.WRITE, "item", "y", 0);
		member.refuseReplies();
		member.crash();
		MemberPool pool = this.service.router(FakeGroup.NAME).pool("a");
		while (member.failedDials() < FAILED_DIALS_OF_A_HEALTHY_MEMBER) {
			this.loop.advance(1);
		}
		assertThat(pool.isUnreachable()).isFalse();
	}

	/**
	 * Guards against the replacement of a primary that responds but refuses new
	 * connections because its queue is full.
	 */
	@Test
	void primaryThatRefusesConnectionsIsNotReplaced() {
		this.group.member("a").refuseConnections();
		TestClient client = client();
		for (int second = 0; second < 3; second++) {
			client.send(Verb.READ, "", "item", 1_000);
		}
		assertThat(this.orders).isEmpty();
	}

	/**
	 * Guards against a daemon that never finds the primary because there are more daemons
	 * than permanent connections. After a restart of the fleet, 7 of 20 daemons served no
	 * writes.
	 */
	@Test
	void daemonWithoutAPermanentConnectionFindsThePrimary() {
		SessionService restarted = new SessionService("daemon-9", "zone", this.loop, this.loop, this.loop::milliseconds,
				this.group, ForwardingLink.NONE);
		restarted.start();
		restarted.viewChanged(view(20));
		this.loop.advance(1_100);
		TestClient client = new TestClient(this.loop, restarted, "primary");
		assertThat(client.send(Verb.WRITE, "item", "x", 300).isDone()).isTrue();
	}

	/**
	 * Guards against a long gap in writes when a primary stops responding. A timeout of
	 * the begin of a transaction and the reports of two relays are sufficient to replace
	 * it.
	 */
	@Test
	void unresponsivePrimaryIsReplacedQuickly() {
		this.group.member("a").stopResponding();
		client().send(Verb.READ, "", "item", 700);
		assertThat(this.orders).hasSize(1);
	}

	/**
	 * Guards against relays that forward a request in a cycle.
	 */
	@Test
	void memberBehindARelayIsNotRelayedToOthers() {
		assertThat(this.service.directMemberAddress(FakeGroup.NAME, "a")).isPresent();
		this.group.member("a").partitioned(true);
		client().send(Verb.READ, "", "item", 2_000);
		assertThat(this.service.directMemberAddress(FakeGroup.NAME, "a")).isEmpty();
		assertThat(this.service.directMemberAddress(FakeGroup.NAME, "b")).isPresent();
		assertThat(this.service.directMemberAddress("unknown", "b")).isEmpty();
	}

	private static final class AcceptingControl implements CommandSubmitter {

		@Override
		public CompletableFuture<CommandResult> submit(ControlCommand command, long deadline) {
			return CompletableFuture.completedFuture(CommandResult.accepted(1));
		}

		@Override
		public CompletableFuture<Object> query(Object query, long deadline) {
			return CompletableFuture.failedFuture(new IllegalStateException("no queries are expected"));
		}

	}

}
