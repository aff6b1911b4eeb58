package org.magnolialead.ctl.report;

import org.magnolialead.api.servicelevel.RequestSlot;

/**
 * Service level of a time window. Shares and the burn rate are {@code NaN} if there are
 * no requests to compute them from.
 *
 * @param counts sum of the request counts
 * @param objective target share of requests that are served within their deadline
 */
record ServiceLevel(RequestSlot counts, double objective) {

	double withinDeadline() {
		return this.counts.withinDeadline() / (double) this.counts.requests();
	}

	/**
	 * Returns the rate at which the error budget is used, relative to the rate that the
	 * objective allows.
	 * @return the burn rate; 1 uses exactly the error budget
	 */
	double burnRate() {
		long missed = this.counts.requests() - this.counts.withinDeadline();
		return burnRate(missed / (double) this.counts.requests(), this.objective);
	}

	double replicaShare() {
		return this.counts.replicaReads() / (double) this.counts.reads();
	}

	static double burnRate(double missedShare, double objective) {
		return missedShare / (1 - objective);
	}

}
