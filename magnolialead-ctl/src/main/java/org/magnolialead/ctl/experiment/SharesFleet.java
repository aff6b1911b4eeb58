package org.magnolialead.ctl.experiment;

import java.util.ArrayList;
import java.util.List;

/**
 * Fleet in which every daemon connects to the members and has a share of their slot time
 * and connections. Session tokens and failover are left out, which favours the baseline.
 */
final class SharesFleet implements DaemonFleet {

	private static final long HEARTBEAT_NANOSECONDS = 200 * VirtualTime.MILLISECOND;

	/** Time after which the share of a dead daemon is given to others. */
	private static final long LEASE_NANOSECONDS = 2_750 * VirtualTime.MILLISECOND;

	/** Interval at which daemons look whether their accounts allow more statements. */
	private static final long PUMP_NANOSECONDS = VirtualTime.MILLISECOND;

	/** Time in which statements in progress end, so that connections can be closed. */
	private static final long CLOSE_NANOSECONDS = 50 * VirtualTime.MILLISECOND;

	/** Part of an even share that a daemon keeps without need, so that it can start. */
	private static final double LEAST_SHARE = 0.25;

	private final Simulation simulation;

	private final List<SimulatedOwner> daemons = new ArrayList<>();

	private final List<PartialShare> shares = new ArrayList<>();

	private final double[] arrivals = new double[Deployment.DAEMONS];

	private final boolean[] gone = new boolean[Deployment.DAEMONS];

	SharesFleet(Simulation simulation, boolean leased) {
		this.simulation = simulation;
		SimulatedGroup group = simulation.group();
		int limit = group.deployment().connectionLimit();
		for (int i = 0; i < Deployment.DAEMONS; i++) {
			int connections = limit / Deployment.DAEMONS + ((i < limit % Deployment.DAEMONS) ? 1 : 0);
			PartialShare share = new PartialShare(1.0 / Deployment.DAEMONS, connections);
			SimulatedOwner daemon = new SimulatedOwner(group, Policies.MAGNOLIALEAD, share, PromotionGate.AT_ONCE);
			daemon.acknowledged(simulation::acknowledged);
			this.shares.add(share);
			this.daemons.add(daemon);
		}
		simulation.time().every(PUMP_NANOSECONDS, () -> this.daemons.forEach(SimulatedOwner::pump));
		if (leased) {
			simulation.time().every(HEARTBEAT_NANOSECONDS, this::moveShares);
		}
	}

	@Override
	public void submit(Request request) {
		this.arrivals[request.entryDaemon()]++;
		this.daemons.get(request.entryDaemon()).submit(request);
	}

	@Override
	public void tally(Tally changed) {
		this.daemons.forEach((daemon) -> daemon.tally(changed));
	}

	@Override
	public void crash(int daemon) {
		this.daemons.get(daemon).crash();
		this.simulation.time().after(LEASE_NANOSECONDS, () -> this.gone[daemon] = true);
	}

	// The need of a daemon is the number of requests that reached it since the last
	// heartbeat, smoothed over about two heartbeats.
	private void moveShares() {
		double[] needs = new double[Deployment.DAEMONS];
		double sum = 0;
		for (int i = 0; i < Deployment.DAEMONS; i++) {
			needs[i] = (!this.gone[i]) ? this.arrivals[i] : 0;
			sum += needs[i];
			this.arrivals[i] /= 2;
		}
		double total = sum;
		long delay = 2 * this.simulation.group().deployment().hopNanoseconds();
		this.simulation.time().after(delay, () -> assign(needs, total));
	}

	// Shares that shrink do so first, so that connections are closed before others open.
	private void assign(double[] needs, double total) {
		int limit = this.simulation.group().deployment().connectionLimit();
		long live = 0;
		for (boolean absent : this.gone) {
			live += (!absent) ? 1 : 0;
		}
		double least = LEAST_SHARE / live;
		long spare = limit - live;
		for (int i = 0; i < Deployment.DAEMONS; i++) {
			if (!this.gone[i]) {
				double part = (total != 0) ? needs[i] / total : 1.0 / live;
				change(i, least + part * (1 - LEAST_SHARE), 1 + (int) (part * spare));
			}
		}
	}

	private void change(int daemon, double slotShare, int connections) {
		PartialShare share = this.shares.get(daemon);
		boolean grows = connections > share.connections();
		this.simulation.time().after(grows ? CLOSE_NANOSECONDS : 0, () -> {
			share.change(slotShare, connections, this.simulation.time().now());
			this.daemons.get(daemon).shareChanged();
		});
	}

}
