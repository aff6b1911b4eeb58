package org.magnolialead.daemon.entry;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;

import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.daemon.filter.LeaseGate;
import org.magnolialead.daemon.owner.GroupOwnership;
import org.magnolialead.daemon.settings.DaemonSettings;
import org.magnolialead.transport.peer.PeerClient;

/**
 * Holds the fleet view, the lease and the control link of an entry daemon.
 */
public final class EntryServices {

	private final MonotonicClock clock;

	private final PeerClient client;

	private final ScheduledExecutorService scheduler;

	private final FleetViewHolder view = new FleetViewHolder();

	private final LeaseGate leaseGate;

	private final AnnouncementBuffer announcements;

	private volatile GroupOwnership ownership;

	private ControlLink link;

	/**
	 * Creates services without a control link.
	 * @param clock clock for all deadlines
	 * @param client connections to other daemons
	 * @param scheduler executor for heartbeats
	 */
	public EntryServices(MonotonicClock clock, PeerClient client, ScheduledExecutorService scheduler) {
		this.clock = clock;
		this.client = client;
		this.scheduler = scheduler;
		this.leaseGate = new LeaseGate(clock.nanoseconds());
		this.announcements = new AnnouncementBuffer(this.view, clock);
	}

	/**
	 * Creates the control link without starting it.
	 * @param settings settings of this daemon
	 * @param incarnation identifier of this process
	 * @return the link
	 */
	public ControlLink createControlLink(DaemonSettings settings, String incarnation) {
		ControlLink.Identity identity = new ControlLink.Identity(settings.name(), incarnation,
				settings.peer().address(), settings.availabilityZone());
		this.link = new ControlLink(identity, settings.controlAddresses(), this.client, this.clock, this.scheduler,
				this.leaseGate, this.view, () -> (this.ownership != null) ? this.ownership.reports() : List.of(),
				this.announcements);
		return this.link;
	}

	/**
	 * Sets the controller that reports the owned groups and is notified of changes to the
	 * fleet view.
	 * @param controller the controller
	 */
	public void setOwnership(GroupOwnership controller) {
		this.ownership = controller;
		this.view.addListener(controller::viewChanged);
	}

	/**
	 * Starts sending heartbeats.
	 */
	public void start() {
		this.link.start();
	}

	/**
	 * Reports to the control leader that this daemon is shutting down.
	 */
	public void drain() {
		this.link.drain();
	}

	/**
	 * Buffers the announcement of a database member for the next heartbeat.
	 * @param member the announcement
	 */
	public void announce(MemberDescription member) {
		this.announcements.announce(member);
	}

	/**
	 * Returns the fleet view.
	 * @return the holder of the view
	 */
	public FleetViewHolder view() {
		return this.view;
	}

	/**
	 * Returns the lease of this daemon.
	 * @return the lease gate
	 */
	public LeaseGate leaseGate() {
		return this.leaseGate;
	}

}
