package org.magnolialead.ctl.experiment;

/**
 * Entry daemons that serve one group.
 */
interface DaemonFleet {

	/**
	 * Submits a request to its entry daemon.
	 * @param request the request
	 */
	void submit(Request request);

	/**
	 * Sets the statistics that record slot time from now on.
	 * @param changed statistics of the current phase
	 */
	void recordInto(PhaseStatistics changed);

	/**
	 * Crashes one daemon.
	 * @param daemon index of the daemon
	 */
	void crash(int daemon);

}
