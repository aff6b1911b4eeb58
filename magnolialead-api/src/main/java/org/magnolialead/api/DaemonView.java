package org.magnolialead.api;

import java.util.Objects;

/**
 * Entry daemon as described in the fleet view.
 *
 * @param daemon name of the daemon
 * @param version view version at which this record last changed
 * @param incarnation random identifier of the daemon's current process
 * @param peerAddress address for the peer protocol in the form {@code host:port}
 * @param availabilityZone availability zone of the daemon
 * @param draining whether the daemon is shutting down
 */
public record DaemonView(String daemon, long version, String incarnation, String peerAddress, String availabilityZone,
		boolean draining) {

	public DaemonView {
		Objects.requireNonNull(daemon, "daemon must not be null");
		Objects.requireNonNull(incarnation, "incarnation must not be null");
		Objects.requireNonNull(peerAddress, "peerAddress must not be null");
		Objects.requireNonNull(availabilityZone, "availabilityZone must not be null");
	}
}
