package org.magnolialead.ctl.experiment;

/**
 * Fleet in which one daemon owns the group and the other daemons forward requests to it.
 */
final class SingleOwnerFleet implements DaemonFleet {

	static final int INITIAL_OWNER = 0;

	/**
	 * Time from the crash of the owner until its successor takes over: the lease of 2,500
	 * ms with a clock drift margin of 10%, and a heartbeat of 200 ms that delivers the
	 * new view.
	 */
	private static final long OWNER_TAKEOVER_NANOSECONDS = (2_750 + 200) * VirtualClock.NANOSECONDS_PER_MILLISECOND;

	private final Simulation simulation;

	private int ownerDaemon = INITIAL_OWNER;

	private SimulatedOwner owner;

	private PhaseStatistics statistics = new PhaseStatistics();

	SingleOwnerFleet(Simulation simulation) {
		this.simulation = simulation;
		start();
	}

	@Override
	public void submit(Request request) {
		SimulatedOwner currentOwner = this.owner;
		long oneWayDelay = this.simulation.group().deployment().oneWayDelayNanoseconds();
		this.simulation.clock()
			.schedule((request.entryDaemon() == this.ownerDaemon) ? 0 : oneWayDelay,
					() -> currentOwner.submit(request));
	}

	@Override
	public void recordInto(PhaseStatistics changed) {
		this.statistics = changed;
		this.owner.recordInto(changed);
	}

	@Override
	public void crash(int daemon) {
		if (daemon == this.ownerDaemon) {
			this.owner.crash();
			this.simulation.clock().schedule(OWNER_TAKEOVER_NANOSECONDS, () -> {
				this.ownerDaemon = INITIAL_OWNER + 1;
				start();
			});
		}
	}

	private void start() {
		SlotShare share = new SlotShare.Full(this.simulation.group().deployment());
		this.owner = new SimulatedOwner(this.simulation.group(), OwnerPolicies.MAGNOLIALEAD, share,
				PromotionTiming.IMMEDIATE);
		this.owner.onAcknowledged(this.simulation::acknowledged);
		this.owner.recordInto(this.statistics);
	}

}
