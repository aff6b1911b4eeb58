package org.magnolialead.ctl.experiment;

import java.util.List;

import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.Profile;
import org.magnolialead.api.Rank;

/**
 * Class of requests for one group that arrive at a constant mean rate.
 *
 * @param profileName profile of the requests
 * @param write whether they change data
 * @param requestsPerSecond requests per second
 */
record RequestClass(String profileName, boolean write, double requestsPerSecond) {

	/**
	 * Ordinary load of one group, which uses about half of the slot time of its members.
	 */
	static final List<RequestClass> ORDINARY = List.of(new RequestClass("confirmation", true, 100),
			new RequestClass("confirmation", false, 100), new RequestClass("scheduling", true, 40),
			new RequestClass("scheduling", false, 80), new RequestClass("browsing", false, 300));

	private static final FleetConfiguration CONFIGURATION = FleetConfiguration.initial();

	Profile profile() {
		return CONFIGURATION.profiles().get(this.profileName);
	}

	Rank rank() {
		return profile().rank();
	}

	RequestClass scaledBy(double factor) {
		return new RequestClass(this.profileName, this.write, this.requestsPerSecond * factor);
	}

	/**
	 * Returns the ordinary load with ten times the requests of one rank.
	 * @param rank the rank
	 * @return the load
	 */
	static List<RequestClass> tenfold(Rank rank) {
		return ORDINARY.stream().map((load) -> (load.rank() == rank) ? load.scaledBy(10) : load).toList();
	}

}
