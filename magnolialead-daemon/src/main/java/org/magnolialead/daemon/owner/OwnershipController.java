package org.magnolialead.daemon.owner;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import org.magnolialead.api.DaemonView;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;
import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.api.message.ExecuteRequest;
import org.magnolialead.api.message.OwnedGroupReport;
import org.magnolialead.daemon.entry.CommandSubmitter;
import org.magnolialead.daemon.filter.LeaseGate;
import org.magnolialead.engine.owner.ReadPolicy;
import org.magnolialead.engine.owner.SchedulingPolicy;
import org.magnolialead.transport.member.MemberConnector;

/**
 * Starts and ends the ownership of groups as assigned in the fleet view.
 */
public final class OwnershipController implements GroupOwnership {

	private final String daemon;

	private final String incarnation;

	private final OwnerServices services;

	private final Map<String, GroupOwnerController> owned = new ConcurrentHashMap<>();

	private volatile boolean draining;

	/**
	 * Creates a controller that owns nothing yet.
	 * @param daemon name of this daemon
	 * @param incarnation identifier of this process
	 * @param clock clock for all deadlines
	 * @param executor executor for the serial executors of the groups
	 * @param timer executor for delayed tasks
	 * @param connector opens connections to database members
	 * @param view current fleet view
	 * @param leaseGate lease of this daemon
	 * @param control submits commands to the control plane
	 */
	public OwnershipController(String daemon, String incarnation, MonotonicClock clock, Executor executor,
			ScheduledExecutorService timer, MemberConnector connector, Supplier<FleetView> view, LeaseGate leaseGate,
			CommandSubmitter control) {
		this.daemon = daemon;
		this.incarnation = incarnation;
		this.services = new OwnerServices(clock, executor, timer, connector, view, leaseGate, control,
				ReadPolicy.FRESH_REPLICAS, SchedulingPolicy.RANK_FLOORS);
	}

	@Override
	public void viewChanged(FleetView view) {
		this.owned.forEach((group, controller) -> {
			GroupView groupView = view.groups().get(group);
			if (groupView == null || !isOwnedHere(view, groupView)
					|| groupView.ownerEpoch() != controller.ownerEpoch()) {
				this.owned.remove(group, controller);
				controller.stop("the group is assigned to another owner");
			}
		});
		view.groups().values().stream().filter((group) -> isOwnedHere(view, group)).forEach((group) -> {
			GroupOwnerController controller = this.owned.get(group.group());
			if (controller == null) {
				controller = new GroupOwnerController(this.services, view, group);
				this.owned.put(group.group(), controller);
				controller.start();
			}
			else {
				controller.viewChanged(view, group);
			}
			if (this.draining || group.releaseRequested()) {
				controller.drain();
			}
		});
	}

	/**
	 * Tells whether this daemon owns a group according to its fleet view.
	 * @param group name of the group
	 * @return {@code true} if it owns the group; the lease is not checked
	 */
	public boolean owns(String group) {
		return this.owned.containsKey(group);
	}

	/**
	 * Executes a request of a caller for a group owned here.
	 * @param request the request
	 * @param deadline time of the monotonic clock in nanoseconds at which the caller
	 * stops waiting
	 * @return the answer; never fails, errors are part of the answer
	 */
	public CompletableFuture<ExecuteAnswer> execute(ExecuteRequest request, long deadline) {
		GroupOwnerController controller = this.owned.get(request.group());
		if (controller == null || !this.services.holdsLease()) {
			return CompletableFuture.completedFuture(ExecuteAnswer.failed(new MagnolialeadException(ErrorCode.NOT_OWNER,
					Step.FORWARD, this.daemon, "this daemon does not own group \"%s\"".formatted(request.group()))));
		}
		return controller.execute(request, deadline);
	}

	/**
	 * Releases all groups once their work in progress is finished.
	 */
	public void drain() {
		this.draining = true;
		this.owned.values().forEach(GroupOwnerController::drain);
	}

	/**
	 * Ends the ownership of all groups immediately.
	 */
	public void stop() {
		this.owned.forEach((group, controller) -> controller.stop("the daemon is stopping"));
		this.owned.clear();
	}

	@Override
	public List<OwnedGroupReport> reports() {
		return this.owned.values().stream().map(GroupOwnerController::report).toList();
	}

	/**
	 * Returns the number of groups owned here.
	 * @return the number of groups
	 */
	public int ownedCount() {
		return this.owned.size();
	}

	private boolean isOwnedHere(FleetView view, GroupView group) {
		DaemonView registered = view.daemons().get(this.daemon);
		return group.owner().equals(this.daemon) && registered != null
				&& registered.incarnation().equals(this.incarnation);
	}

}
