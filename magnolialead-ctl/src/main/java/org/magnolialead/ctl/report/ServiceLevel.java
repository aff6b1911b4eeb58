package org.magnolialead.ctl.report;

import org.magnolialead.api.servicelevel.RequestSlot;

/**
 * Service level over some time. Shares and burn are {@code NaN} if there is nothing to
 * compute them from.
 *
 * @param counts sum of the requests
 * @param objective share of requests to be served within their deadline
 */
record ServiceLevel(RequestSlot counts, double objective) {

	double withinDeadline() {
		return this.counts.withinDeadline() / (double) this.counts.requests();
	}

	/**
	 * Returns how many times faster than allowed the error budget is used.
	 * @return the burn; 1 uses exactly the budget
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
