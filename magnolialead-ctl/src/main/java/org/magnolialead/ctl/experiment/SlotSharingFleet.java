package org.magnolialead.ctl.experiment;

import java.util.ArrayList;
import java.util.List;

/**
 * Fleet in which every daemon connects to the members and has a share of their slot time
 * and connections. Session tokens and failover are not simulated, which favours this
 * baseline.
 */
final class SlotSharingFleet implements DaemonFleet {

	private static final long HEARTBEAT_INTERVAL_NANOSECONDS = 200 * VirtualClock.NANOSECONDS_PER_MILLISECOND;

	/** Time after which the share of a crashed daemon is assigned to other daemons. */
	private static final long SHARE_EXPIRY_NANOSECONDS = 2_750 * VirtualClock.NANOSECONDS_PER_MILLISECOND;

	/**
	 * Interval at which daemons check whether their token buckets permit more statements.
	 */
	private static final long DISPATCH_INTERVAL_NANOSECONDS = VirtualClock.NANOSECONDS_PER_MILLISECOND;

	/**
	 * Time for which a growing share waits, so that running statements of other daemons
	 * end and their connections can be closed.
	 */
	private static final long CONNECTION_DRAIN_NANOSECONDS = 50 * VirtualClock.NANOSECONDS_PER_MILLISECOND;

	/**
	 * Part of an even share that a daemon keeps without demand, so that it can serve its
	 * first requests.
	 */
	private static final double MINIMUM_FRACTION_OF_EVEN_SHARE = 0.25;

	private final Simulation simulation;

	private final List<SimulatedOwner> daemons = new ArrayList<>();

	private final List<PartialSlotShare> shares = new ArrayList<>();

	private final double[] smoothedArrivals = new double[Deployment.DAEMONS];

	private final boolean[] shareExpired = new boolean[Deployment.DAEMONS];

	/**
	 * Creates a fleet in which all daemons start with even shares.
	 * @param simulation simulation of the group
	 * @param leased whether shares are reassigned by demand at each heartbeat
	 */
	SlotSharingFleet(Simulation simulation, boolean leased) {
		this.simulation = simulation;
		SimulatedGroup group = simulation.group();
		int limit = group.deployment().connectionLimit();
		for (int i = 0; i < Deployment.DAEMONS; i++) {
			int connections = limit / Deployment.DAEMONS + ((i < limit % Deployment.DAEMONS) ? 1 : 0);
			PartialSlotShare share = new PartialSlotShare(1.0 / Deployment.DAEMONS, connections);
			SimulatedOwner daemon = new SimulatedOwner(group, OwnerPolicies.MAGNOLIALEAD, share,
					PromotionTiming.IMMEDIATE);
			daemon.onAcknowledged(simulation::acknowledged);
			this.shares.add(share);
			this.daemons.add(daemon);
		}
		simulation.clock()
			.scheduleRepeatedly(DISPATCH_INTERVAL_NANOSECONDS,
					() -> this.daemons.forEach(SimulatedOwner::dispatchWaiting));
		if (leased) {
			simulation.clock().scheduleRepeatedly(HEARTBEAT_INTERVAL_NANOSECONDS, this::rebalance);
		}
	}

	@Override
	public void submit(Request request) {
		this.smoothedArrivals[request.entryDaemon()]++;
		this.daemons.get(request.entryDaemon()).submit(request);
	}

	@Override
	public void recordInto(PhaseStatistics changed) {
		this.daemons.forEach((daemon) -> daemon.recordInto(changed));
	}

	@Override
	public void crash(int daemon) {
		this.daemons.get(daemon).crash();
		this.simulation.clock().schedule(SHARE_EXPIRY_NANOSECONDS, () -> this.shareExpired[daemon] = true);
	}

	// The demand of a daemon is the number of requests that arrived at it since the last
	// heartbeat, smoothed over about two heartbeats.
	private void rebalance() {
		double[] demands = new double[Deployment.DAEMONS];
		double sum = 0;
		for (int i = 0; i < Deployment.DAEMONS; i++) {
			demands[i] = (!this.shareExpired[i]) ? this.smoothedArrivals[i] : 0;
			sum += demands[i];
			this.smoothedArrivals[i] /= 2;
		}
		double total = sum;
		long delay = 2 * this.simulation.group().deployment().oneWayDelayNanoseconds();
		this.simulation.clock().schedule(delay, () -> assign(demands, total));
	}

	// Shares shrink before others grow, so that connections are closed before others are
	// opened.
	private void assign(double[] demands, double total) {
		int limit = this.simulation.group().deployment().connectionLimit();
		long liveDaemons = 0;
		for (boolean isExpired : this.shareExpired) {
			liveDaemons += (!isExpired) ? 1 : 0;
		}
		double minimum = MINIMUM_FRACTION_OF_EVEN_SHARE / liveDaemons;
		long spareConnections = limit - liveDaemons;
		for (int i = 0; i < Deployment.DAEMONS; i++) {
			if (!this.shareExpired[i]) {
				double fraction = (total != 0) ? demands[i] / total : 1.0 / liveDaemons;
				change(i, minimum + fraction * (1 - MINIMUM_FRACTION_OF_EVEN_SHARE),
						1 + (int) (fraction * spareConnections));
			}
		}
	}

	private void change(int daemon, double slotShare, int connections) {
		PartialSlotShare share = this.shares.get(daemon);
		boolean growing = connections > share.connections();
		this.simulation.clock().schedule(growing ? CONNECTION_DRAIN_NANOSECONDS : 0, () -> {
			share.change(slotShare, connections, this.simulation.clock().now());
			this.daemons.get(daemon).shareChanged();
		});
	}

}
