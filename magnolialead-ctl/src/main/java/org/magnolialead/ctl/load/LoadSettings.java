package org.magnolialead.ctl.load;

import java.util.List;

/**
 * Settings of a run of the load generator.
 *
 * @param addresses HTTP addresses of entry daemons, or of one database member
 * @param direct whether the address is a database member
 * @param groups names of database groups
 * @param mixes classes of requests
 * @param seconds length of the run, with the warm-up
 * @param warmUpSeconds time at the start that is not measured
 * @param sessions number of sessions
 * @param connections greatest number of connections to each address
 * @param idleConnections connections that are held open without requests
 * @param verifyProfile profile of the reads that check the result
 * @param seed seed of the random choices
 */
public record LoadSettings(List<String> addresses, boolean direct, List<String> groups, List<LoadMix> mixes,
		double seconds, double warmUpSeconds, int sessions, int connections, int idleConnections, String verifyProfile,
		long seed) {

	public LoadSettings {
		addresses = List.copyOf(addresses);
		groups = List.copyOf(groups);
		mixes = List.copyOf(mixes);
		if (warmUpSeconds < 0 || !(seconds > warmUpSeconds)) {
			throw new IllegalArgumentException("seconds must be greater than warm-up-seconds");
		}
		if (sessions < 1 || connections < 1 || idleConnections < 0) {
			throw new IllegalArgumentException("sessions and connections must be positive");
		}
		if (direct && addresses.size() != 1) {
			throw new IllegalArgumentException("a direct run uses one address");
		}
	}
}
