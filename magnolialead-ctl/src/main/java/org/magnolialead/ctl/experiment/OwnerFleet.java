package org.magnolialead.ctl.experiment;

/**
 * Fleet in which one daemon owns the group and the others pass requests on to it.
 */
final class OwnerFleet implements DaemonFleet {

	static final int OWNER = 0;

	/**
	 * Time from the owner's death until its successor acts: the lease of 2,500 ms with
	 * the drift margin of 10%, and a heartbeat that brings the new view.
	 */
	private static final long SUCCESSION_NANOSECONDS = (2_750 + 200) * VirtualTime.MILLISECOND;

	private final Simulation simulation;

	private int ownerNumber = OWNER;

	private SimulatedOwner owner;

	private Tally tally = new Tally();

	OwnerFleet(Simulation simulation) {
		this.simulation = simulation;
		start();
	}

	@Override
	public void submit(Request request) {
		SimulatedOwner receiver = this.owner;
		long hop = this.simulation.group().deployment().hopNanoseconds();
		this.simulation.time()
			.after((request.entryDaemon() == this.ownerNumber) ? 0 : hop, () -> receiver.submit(request));
	}

	@Override
	public void tally(Tally changed) {
		this.tally = changed;
		this.owner.tally(changed);
	}

	@Override
	public void crash(int daemon) {
		if (daemon == this.ownerNumber) {
			this.owner.crash();
			this.simulation.time().after(SUCCESSION_NANOSECONDS, () -> {
				this.ownerNumber = OWNER + 1;
				start();
			});
		}
	}

	private void start() {
		SlotShare whole = new SlotShare.Whole(this.simulation.group().deployment());
		this.owner = new SimulatedOwner(this.simulation.group(), Policies.MAGNOLIALEAD, whole, PromotionGate.AT_ONCE);
		this.owner.acknowledged(this.simulation::acknowledged);
		this.owner.tally(this.tally);
	}

}
