package org.magnolialead.engine.consensus;

/**
 * Number of voters that may be lost together with their data at the same time, and the
 * numbers of voters that this requires.
 *
 * @param losses number of voters that may be lost at once, at least one
 */
public record FaultTolerance(int losses) {

	/** Tolerates the loss of one voter. */
	public static final FaultTolerance ONE_LOSS = new FaultTolerance(1);

	public FaultTolerance {
		if (losses < 1) {
			throw new IllegalArgumentException("losses must be positive, found " + losses);
		}
	}

	/**
	 * Returns the smallest number of voters of which the remaining ones are a majority
	 * after the losses. A cluster with fewer voters keeps its data but does not elect a
	 * leader again.
	 * @return the number of voters
	 */
	public int votersToElect() {
		return 2 * this.losses + 1;
	}

	/**
	 * Returns the smallest number of voters of which each majority has a member that is
	 * not lost, so that no committed change disappears.
	 * @return the number of voters
	 */
	public int votersToCommit() {
		return 2 * this.losses;
	}

	/**
	 * Returns how many voters of a cluster may be lost so that it still elects a leader.
	 * @param voters number of voters of the cluster
	 * @return the number of losses, 0 for an empty cluster
	 */
	public static int lossesTolerated(int voters) {
		return Math.max(0, (voters - 1) / 2);
	}

}
