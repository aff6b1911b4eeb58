package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

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
import org.magnolialead.engine.session.FencingToken;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulated group of the members a, b and c and the daemon that owns it. Records the
 * orders to the platform and the primaries that are confirmed in the control log, which
 * accepts each command.
 */
final class OwnedGroup {

	private static final String DAEMON = "daemon-1";

	private static final long EPOCH = 7;

	private static final long START_MILLISECONDS = 1_000;

	private static final long CONDITION_TIMEOUT_MILLISECONDS = 10_000;

	private static final long CONDITION_POLL_MILLISECONDS = 10;

	private final ManualLoop loop = new ManualLoop();

	private final FakeGroup group = new FakeGroup(this.loop, "a", "b", "c");

	private final SessionService service = new SessionService(DAEMON, "zone", this.loop, this.loop,
			this.loop::milliseconds, this.group, ForwardingLink.NONE);

	private final DaemonLease lease = new DaemonLease(this.loop.nanoseconds());

	private final PromotionController controller = new PromotionController(DAEMON, DAEMON, this.service, this.lease,
			new AcceptingControl(), this::order);

	private final List<Order> orders = new ArrayList<>();

	private final List<String> confirmedPrimaries = new ArrayList<>();

	private Function<String, CompletableFuture<PromotionService.Result>> platform = this::promote;

	/**
	 * Starts the daemon, with member a as the primary.
	 * @param synchronousReplicas number of replicas that receive a commit before it is
	 * acknowledged
	 */
	OwnedGroup(int synchronousReplicas) {
		this.service.start();
		publish(synchronousReplicas);
		this.lease.renew(this.loop.nanoseconds() + TimeUnit.HOURS.toNanos(1));
		this.loop.advance(START_MILLISECONDS);
	}

	/**
	 * Publishes a view of the fleet.
	 * @param synchronousReplicas number of replicas that receive a commit before it is
	 * acknowledged
	 * @param leaving names of the members that leave
	 */
	void publish(int synchronousReplicas, String... leaving) {
		GroupView view = this.group.view(DAEMON, EPOCH, "a", leaving);
		Route route = new Route("primary", FakeGroup.NAME, FreshnessRule.LATEST, 0, 0, 800);
		RouteTable table = new RouteTable(1, Map.of("primary", route), Map.of(FakeGroup.NAME, 18),
				Map.of(FakeGroup.NAME, synchronousReplicas), 3_000, null, "");
		FleetConfiguration initial = FleetConfiguration.initial();
		FleetConfiguration configuration = new FleetConfiguration(1, initial.profiles(), initial.rankFloors(),
				initial.queueLimit(), table);
		DaemonView daemon = new DaemonView(DAEMON, 1, DAEMON, "10.0.0.9:1", "zone", false);
		FleetView fleet = new FleetView(1, configuration, Map.of(FakeGroup.NAME, view), Map.of(DAEMON, daemon));
		this.service.viewChanged(fleet);
		this.controller.viewChanged(fleet);
	}

	void advance(long milliseconds) {
		this.loop.advance(milliseconds);
	}

	/**
	 * Advances the time until a condition holds.
	 * @param condition the condition
	 */
	void advanceUntil(BooleanSupplier condition) {
		long limit = this.loop.milliseconds() + CONDITION_TIMEOUT_MILLISECONDS;
		while (!condition.getAsBoolean()) {
			assertThat(this.loop.milliseconds()).as("simulated time").isLessThan(limit);
			this.loop.advance(CONDITION_POLL_MILLISECONDS);
		}
	}

	void after(long milliseconds, Runnable task) {
		this.loop.schedule(task, milliseconds, TimeUnit.MILLISECONDS);
	}

	FakeGroup.Member member(String name) {
		return this.group.member(name);
	}

	/**
	 * Runs a task before a replica carries out the first command of a kind.
	 * @param kind kind of the command
	 * @param task the task, run once
	 */
	void beforeFirst(MemberCommand.Kind kind, Runnable task) {
		AtomicBoolean pending = new AtomicBoolean(true);
		for (String replica : List.of("b", "c")) {
			member(replica).fail((received) -> {
				if (received == kind && pending.getAndSet(false)) {
					task.run();
				}
				return false;
			});
		}
	}

	/**
	 * Tells whether the daemon knows the primary.
	 * @return {@code false} while it looks for the primary
	 */
	boolean isPrimaryKnown() {
		return this.service.router(FakeGroup.NAME).primary().isPresent();
	}

	/**
	 * Replaces the answers of the platform to orders. By default it accepts each order
	 * and promotes the member at once.
	 * @param replacement receives the name of the member and returns the answer
	 */
	void answerOrders(Function<String, CompletableFuture<PromotionService.Result>> replacement) {
		this.platform = replacement;
	}

	/**
	 * Sets the answer of the platform to each further order, without an effect.
	 * @param result the answer
	 */
	void answerOrders(PromotionService.Result result) {
		answerOrders((member) -> CompletableFuture.completedFuture(result));
	}

	/**
	 * Lets a member lead the next term, as the execution of an order does.
	 * @param name name of the member
	 * @return the answer to the order
	 */
	CompletableFuture<PromotionService.Result> promote(String name) {
		if (!this.group.member(name).isPrimary()) {
			this.group.promote(name);
		}
		return CompletableFuture.completedFuture(PromotionService.Result.ACCEPTED);
	}

	private CompletableFuture<PromotionService.Result> order(String name, String member, String holder,
			FencingToken fencingToken) {
		this.orders.add(new Order(member, this.group.member("b").isPaused() && this.group.member("c").isPaused()));
		return this.platform.apply(member);
	}

	/**
	 * Returns the orders to the platform.
	 * @return the orders in order of time
	 */
	List<Order> orders() {
		return this.orders;
	}

	/**
	 * Returns the members that the platform was ordered to promote.
	 * @return their names in order of time
	 */
	List<String> orderedMembers() {
		return this.orders.stream().map(Order::member).toList();
	}

	/**
	 * Returns the primaries that were confirmed in the control log.
	 * @return their names in order of time
	 */
	List<String> confirmedPrimaries() {
		return this.confirmedPrimaries;
	}

	/**
	 * Order to the platform.
	 *
	 * @param member name of the member to promote
	 * @param replicasPaused whether b and c received no commits when it was given
	 */
	record Order(String member, boolean replicasPaused) {
	}

	private final class AcceptingControl implements CommandSubmitter {

		@Override
		public CompletableFuture<CommandResult> submit(ControlCommand command, long deadline) {
			if (command instanceof ControlCommand.ConfirmPrimary confirmation) {
				OwnedGroup.this.confirmedPrimaries.add(confirmation.primary());
			}
			return CompletableFuture.completedFuture(CommandResult.accepted(1));
		}

		@Override
		public CompletableFuture<Object> query(Object query, long deadline) {
			return CompletableFuture.failedFuture(new IllegalStateException("no queries are expected"));
		}

	}

}
