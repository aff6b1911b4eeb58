package org.magnolialead.ctl.load;

import java.util.List;

/**
 * Settings of a run of the load generator.
 *
 * @param addresses HTTP addresses of entry daemons, or of one database member
 * @param direct whether the address is a database member
 * @param groups names of database groups
 * @param mixes classes of requests
 * @param seconds duration of the run in seconds, including the warm-up
 * @param warmUpSeconds initial part of the run that is not measured, in seconds
 * @param sessions number of sessions
 * @param connections maximum number of connections to each address
 * @param idleConnections number of idle connections that are kept open
 * @param verifyProfile profile of the reads that verify the result after the run
 * @param seed seed of the random number generator
 */
public record LoadSettings(List<String> addresses, boolean direct, List<String> groups, List<LoadMix> mixes,
		double seconds, double warmUpSeconds, int sessions, int connections, int idleConnections, String verifyProfile,
		long seed) {

	public LoadSettings {
		addresses = List.copyOf(addresses);
		groups = List.copyOf(groups);
		mixes = List.copyOf(mixes);
		if (warmUpSeconds < 0 || !(seconds > warmUpSeconds)) {
			throw new IllegalArgumentException("warm-up-seconds must not be negative and must be less than seconds");
		}
		if (sessions < 1 || connections < 1 || idleConnections < 0) {
			throw new IllegalArgumentException(
					"sessions and connections must be positive and idle-connections must not be negative");
		}
		if (direct && addresses.size() != 1) {
			throw new IllegalArgumentException("a direct run requires exactly one address");
		}
	}
}
