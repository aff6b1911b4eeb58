package org.magnolialead.daemon.session;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.function.Consumer;

import org.magnolialead.api.DaemonView;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.message.OwnedGroupReport;
import org.magnolialead.daemon.entry.CommandSubmitter;
import org.magnolialead.daemon.filter.DaemonLease;
import org.magnolialead.daemon.owner.GroupOwnership;
import org.magnolialead.engine.session.FencingToken;

/**
 * Manages the promotions of the groups that this daemon owns. No order is given without a
 * lease, and each has a fencing token of its own.
 */
public final class PromotionController implements GroupOwnership {

	private static final System.Logger LOGGER = System.getLogger(PromotionController.class.getName());

	private static final long TICK_MILLISECONDS = 50;

	private final String daemon;

	private final String incarnation;

	private final SessionService sessions;

	private final DaemonLease lease;

	private final CommandSubmitter control;

	private final PromotionService promotionService;

	private final Map<String, GroupPromotion> ownedGroups = new HashMap<>();

	private volatile List<OwnedGroupReport> reports = List.of();

	private Future<?> ticks;

	private boolean draining;

	/**
	 * Creates a controller that owns no groups yet.
	 * @param daemon name of this daemon
	 * @param incarnation identifier of this run of the daemon
	 * @param sessions sessions of this daemon
	 * @param lease lease of this daemon
	 * @param control submits commands to the control daemons
	 * @param promotionService promotes members on the platform
	 */
	public PromotionController(String daemon, String incarnation, SessionService sessions, DaemonLease lease,
			CommandSubmitter control, PromotionService promotionService) {
		this.daemon = daemon;
		this.incarnation = incarnation;
		this.sessions = sessions;
		this.lease = lease;
		this.control = control;
		this.promotionService = promotionService;
	}

	@Override
	public void viewChanged(FleetView view) {
		context().execute(() -> applyView(view));
	}

	private void applyView(FleetView view) {
		List.copyOf(this.ownedGroups.values()).forEach((promotion) -> {
			GroupView group = view.groups().get(promotion.group());
			boolean lost = group == null || !isOwnedHere(view, group) || group.ownerEpoch() != promotion.ownerEpoch();
			if (lost) {
				promotion.stop();
				this.ownedGroups.remove(promotion.group());
				LogEvent.OWNERSHIP_ENDED.log(LOGGER, promotion.group(), promotion.ownerEpoch(), "no longer the owner");
			}
		});
		view.groups().values().stream().filter((group) -> isOwnedHere(view, group)).forEach((group) -> {
			GroupPromotion promotion = this.ownedGroups.get(group.group());
			if (promotion != null) {
				promotion.viewChanged(group);
				return;
			}
			this.ownedGroups.put(group.group(), new GroupPromotion(this, this.sessions.router(group.group()), group));
			LogEvent.OWNERSHIP_STARTED.log(LOGGER, group.group(), group.ownerEpoch());
		});
		updateReports(view);
		scheduleTicks();
	}

	// Most daemons of a large fleet own no group and need no timer.
	private void scheduleTicks() {
		if (this.ownedGroups.isEmpty() && this.ticks != null) {
			this.ticks.cancel(false);
			this.ticks = null;
		}
		else if (!this.ownedGroups.isEmpty() && this.ticks == null) {
			this.ticks = context().scheduleRepeatedly(TICK_MILLISECONDS, this::tick);
		}
	}

	// A group can be released immediately: the control log tells the next owner that an
	// order may be outstanding.
	private void updateReports(FleetView view) {
		this.reports = this.ownedGroups.values()
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
	 * Stops all promotions and reports all groups as released. Must be called on the
	 * serial executor.
	 */
	public void drain() {
		this.draining = true;
		this.ownedGroups.values().forEach(GroupPromotion::stop);
		this.reports = this.reports.stream()
			.map((report) -> new OwnedGroupReport(report.group(), report.ownerEpoch(), true, report.reachableMembers()))
			.toList();
	}

	SessionContext context() {
		return this.sessions.context();
	}

	CommandSubmitter control() {
		return this.control;
	}

	int synchronousReplicas(String group) {
		return this.sessions.routes().synchronousReplicas(group);
	}

	boolean holdsLease() {
		return !this.draining && this.lease.isHeld(context().now());
	}

	void orderPromotion(String group, String member, FencingToken fencingToken,
			Consumer<PromotionService.Result> handler) {
		this.promotionService.promote(group, member, this.daemon, fencingToken)
			.whenComplete((result, failure) -> context()
				.execute(() -> handler.accept((failure != null) ? PromotionService.Result.UNKNOWN : result)));
	}

	private void tick() {
		this.ownedGroups.values().forEach(GroupPromotion::tick);
	}

}
