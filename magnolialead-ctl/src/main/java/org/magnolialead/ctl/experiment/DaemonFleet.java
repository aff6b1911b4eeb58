package org.magnolialead.ctl.experiment;

/**
 * Entry daemons that serve one group.
 */
interface DaemonFleet {

	void submit(Request request);

	void recordInto(PhaseStatistics changed);

	/**
	 * Stops one daemon at once.
	 * @param daemon number of the daemon
	 */
	void crash(int daemon);

}
