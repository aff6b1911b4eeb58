package org.magnolialead.daemon.session;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.magnolialead.api.DaemonView;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.message.OwnedGroupReport;
import org.magnolialead.daemon.entry.CommandSubmitter;
import org.magnolialead.daemon.filter.LeaseGate;
import org.magnolialead.daemon.owner.GroupOwnership;

/**
 * Promotions of the groups that this daemon owns. The epoch of the ownership is the
 * fencing token of its orders, and nothing is ordered without a lease.
 */
public final class PromotionController implements GroupOwnership {

	private static final System.Logger LOGGER = System.getLogger(PromotionController.class.getName());

	private static final long TICK_MILLISECONDS = 50;

	private final String daemon;

	private final String incarnation;

	private final SessionService sessions;

	private final LeaseGate leaseGate;

	private final CommandSubmitter control;

	private final PromotionService promotions;

	private final Map<String, GroupPromotion> owned = new HashMap<>();

	private volatile List<OwnedGroupReport> reports = List.of();

	private boolean draining;

	/**
	 * Creates a controller that owns nothing yet.
	 * @param daemon name of this daemon
	 * @param incarnation identifier of this process
	 * @param sessions sessions of this daemon
	 * @param leaseGate lease of this daemon
	 * @param control submits commands to control
	 * @param promotions promotes members
	 */
	public PromotionController(String daemon, String incarnation, SessionService sessions, LeaseGate leaseGate,
			CommandSubmitter control, PromotionService promotions) {
		this.daemon = daemon;
		this.incarnation = incarnation;
		this.sessions = sessions;
		this.leaseGate = leaseGate;
		this.control = control;
		this.promotions = promotions;
	}

	/**
	 * Starts the regular work.
	 */
	public void start() {
		services().repeat(TICK_MILLISECONDS, this::tick);
	}

	@Override
	public void viewChanged(FleetView view) {
		services().execute(() -> apply(view));
	}

	private void apply(FleetView view) {
		List.copyOf(this.owned.values()).forEach((promotion) -> {
			GroupView group = view.groups().get(promotion.group());
			boolean ended = group == null || !isOwnedHere(view, group) || group.ownerEpoch() != promotion.ownerEpoch();
			if (ended) {
				promotion.stop();
				this.owned.remove(promotion.group());
				LogEvent.OWNERSHIP_ENDED.log(LOGGER, promotion.group(), promotion.ownerEpoch(), "assigned elsewhere");
			}
		});
		view.groups().values().stream().filter((group) -> isOwnedHere(view, group)).forEach((group) -> {
			GroupPromotion promotion = this.owned.get(group.group());
			if (promotion != null) {
				promotion.viewChanged(group);
				return;
			}
			this.owned.put(group.group(), new GroupPromotion(this, this.sessions.router(group.group()), group));
			LogEvent.OWNERSHIP_STARTED.log(LOGGER, group.group(), group.ownerEpoch());
		});
		updateReports(view);
	}

	// Nothing has to be finished before a group is given up: an order that is under way
	// carries its token.
	private void updateReports(FleetView view) {
		this.reports = this.owned.values()
			.stream()
			.map((promotion) -> new OwnedGroupReport(promotion.group(), promotion.ownerEpoch(),
					this.draining || view.groups().get(promotion.group()).releaseRequested(),
					Math.max(1, promotion.reachableMembers())))
			.toList();
	}

	private boolean isOwnedHere(FleetView view, GroupView group) {
		DaemonView registered = view.daemons().get(this.daemon);
		return group.owner().equals(this.daemon) && registered != null
				&& registered.incarnation().equals(this.incarnation);
	}

	@Override
	public List<OwnedGroupReport> reports() {
		return this.reports;
	}

	/**
	 * Gives up all groups. Called on the serial executor.
	 */
	public void drain() {
		this.draining = true;
		this.owned.values().forEach(GroupPromotion::stop);
		this.reports = this.reports.stream()
			.map((report) -> new OwnedGroupReport(report.group(), report.ownerEpoch(), true, report.reachableMembers()))
			.toList();
	}

	SessionServices services() {
		return this.sessions.services();
	}

	CommandSubmitter control() {
		return this.control;
	}

	boolean holdsLease() {
		return !this.draining && this.leaseGate.isHeld(services().now());
	}

	void order(String group, String member, long fencingToken, Consumer<PromotionService.Result> handler) {
		this.promotions.promote(group, member, this.daemon, fencingToken)
			.whenComplete((result, failure) -> services()
				.execute(() -> handler.accept((failure != null) ? PromotionService.Result.UNKNOWN : result)));
	}

	private void tick() {
		this.owned.values().forEach(GroupPromotion::tick);
	}

}
