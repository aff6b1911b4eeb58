package org.magnolialead.daemon.settings;

import java.nio.file.Path;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Checked settings of one daemon.
 *
 * @param file settings file, named in error messages
 * @param name name of the daemon, unique in the fleet
 * @param role role of the daemon
 * @param availabilityZone availability zone of its VM
 * @param peer address for the peer protocol
 * @param controlMembers peer addresses of all control daemons by name
 * @param http HTTP server settings
 * @param sessionKeyFile file with the key that signs session tokens; present for entry
 * daemons
 * @param dataFolder folder for durable state; present for control daemons
 * @param snapshotEntries number of log entries between snapshots of a control daemon
 * @param threads number of threads that serve requests
 */
public record DaemonSettings(Path file, String name, DaemonRole role, String availabilityZone, PeerSettings peer,
		Map<String, String> controlMembers, HttpSettings http, Optional<Path> sessionKeyFile, Optional<Path> dataFolder,
		int snapshotEntries, int threads) {

	public DaemonSettings {
		Objects.requireNonNull(file, "file must not be null");
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(role, "role must not be null");
		Objects.requireNonNull(availabilityZone, "availabilityZone must not be null");
		controlMembers = Map.copyOf(controlMembers);
	}

	/**
	 * Address for the peer protocol.
	 *
	 * @param host IP number to listen on and to announce
	 * @param port TCP port
	 */
	public record PeerSettings(String host, int port) {

		/**
		 * Returns the address that other daemons connect to.
		 * @return host and port
		 */
		public String address() {
			return this.host + ":" + this.port;
		}

	}

	/**
	 * Limits of the HTTP server.
	 *
	 * @param host IP number to listen on
	 * @param port TCP port
	 * @param maximumBodyBytes greatest size of a request body in bytes
	 * @param maximumHeaderBytes greatest size of all request headers in bytes
	 * @param receiveTimeoutMilliseconds longest time to receive one request
	 * @param idleTimeoutMilliseconds longest time that a connection may be idle
	 * @param maximumConnections greatest number of open connections
	 */
	public record HttpSettings(String host, int port, int maximumBodyBytes, int maximumHeaderBytes,
			long receiveTimeoutMilliseconds, long idleTimeoutMilliseconds, int maximumConnections) {
	}
}
