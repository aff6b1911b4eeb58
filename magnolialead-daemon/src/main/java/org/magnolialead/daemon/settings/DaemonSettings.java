package org.magnolialead.daemon.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.magnolialead.daemon.control.CommandLogSettings;
import org.magnolialead.engine.consensus.FaultTolerance;
import org.magnolialead.engine.quota.RateLimitTolerance;
import org.magnolialead.engine.session.ClientLimits;
import org.magnolialead.engine.session.SessionLimits;

/**
 * Validated settings of one daemon.
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
 * @param diskBytes size in bytes of the disk that holds the data folder
 * @param electionTimeoutMilliseconds minimum time in milliseconds without a control
 * leader before an election
 * @param threads number of threads that serve requests
 * @param seeds addresses for finding the control daemons; present if the settings do not
 * list them by name
 * @param sessions settings for sessions of database clients; present if the daemon serves
 * them
 */
public record DaemonSettings(Path file, String name, DaemonRole role, String availabilityZone, PeerSettings peer,
		Map<String, String> controlMembers, HttpSettings http, Optional<Path> sessionKeyFile, Optional<Path> dataFolder,
		int snapshotEntries, long diskBytes, long electionTimeoutMilliseconds, int threads,
		Optional<SeedSettings> seeds, Optional<SessionSettings> sessions) {

	/** Default minimum time without a control leader before an election. */
	static final int DEFAULT_ELECTION_TIMEOUT_MILLISECONDS = 500;

	public DaemonSettings {
		Objects.requireNonNull(file, "file must not be null");
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(role, "role must not be null");
		Objects.requireNonNull(availabilityZone, "availabilityZone must not be null");
		controlMembers = Map.copyOf(controlMembers);
	}

	/**
	 * Creates settings of a daemon that lists the control daemons by name and serves
	 * requests over HTTP only.
	 * @param file settings file, named in error messages
	 * @param name name of the daemon
	 * @param role role of the daemon
	 * @param availabilityZone availability zone of its VM
	 * @param peer address for the peer protocol
	 * @param controlMembers peer addresses of all control daemons by name
	 * @param http limits of the HTTP server
	 * @param sessionKeyFile file with the key that signs session tokens
	 * @param dataFolder folder for durable state
	 * @param snapshotEntries number of log entries between snapshots
	 * @param threads number of threads that serve requests
	 */
	public DaemonSettings(Path file, String name, DaemonRole role, String availabilityZone, PeerSettings peer,
			Map<String, String> controlMembers, HttpSettings http, Optional<Path> sessionKeyFile,
			Optional<Path> dataFolder, int snapshotEntries, int threads) {
		this(file, name, role, availabilityZone, peer, controlMembers, http, sessionKeyFile, dataFolder,
				snapshotEntries, CommandLogSettings.DEFAULT_DISK_BYTES, DEFAULT_ELECTION_TIMEOUT_MILLISECONDS, threads,
				Optional.empty(), Optional.empty());
	}

	/**
	 * Returns the addresses at which control daemons are contacted at startup.
	 * @return peer addresses, at least one
	 */
	public List<String> controlAddresses() {
		return this.seeds.map(SeedSettings::peerAddresses)
			.orElseGet(() -> this.controlMembers.values().stream().sorted().toList());
	}

	/**
	 * Control daemons that are known at startup. Their answers name the others.
	 *
	 * @param addresses HTTP addresses of control daemons in the form {@code host:port};
	 * those with a disk initialize the cluster together on the first start of the fleet,
	 * at which all of them must have the same list
	 * @param peerPort port for the peer protocol, the same for all control daemons
	 * @param firstStart whether the fleet starts for the first time, with empty disks
	 * @param faultTolerance number of control daemons that may lose their disks at once
	 * @param rateLimitTolerance operations that are permitted beyond the rate limits of
	 * client accounts
	 */
	public record SeedSettings(List<String> addresses, int peerPort, boolean firstStart, FaultTolerance faultTolerance,
			RateLimitTolerance rateLimitTolerance) {

		public SeedSettings {
			addresses = List.copyOf(addresses);
			Objects.requireNonNull(faultTolerance, "faultTolerance must not be null");
			Objects.requireNonNull(rateLimitTolerance, "rateLimitTolerance must not be null");
			if (addresses.isEmpty()) {
				throw new IllegalArgumentException("addresses must not be empty");
			}
		}

		/**
		 * Returns the peer addresses of the seeds.
		 * @return one address for each seed
		 */
		public List<String> peerAddresses() {
			return this.addresses.stream()
				.map((address) -> address.substring(0, address.lastIndexOf(':')) + ":" + this.peerPort)
				.toList();
		}

	}

	/**
	 * Settings for sessions of database clients.
	 *
	 * @param host IP address to listen on
	 * @param port TCP port
	 * @param promotionAddress address of the service that promotes database members
	 * @param graceMilliseconds time in milliseconds between the termination signal and
	 * the forced end of the process
	 * @param startAfter address of a process on the same VM that has to start first
	 * because the whole fleet depends on it; empty if there is none
	 * @param limits limits of what sessions keep
	 * @param clients limits of what clients can make the daemon hold
	 * @param learnedLimits whether reads follow the learned limits of members
	 */
	public record SessionSettings(String host, int port, String promotionAddress, long graceMilliseconds,
			Optional<String> startAfter, SessionLimits limits, ClientLimits clients, boolean learnedLimits) {

		/**
		 * Creates settings with the default limits of clients, with which reads do not
		 * follow the learned limits of members.
		 * @param host address to listen on
		 * @param port port to listen on
		 * @param promotionAddress address of the service that promotes database members
		 * @param graceMilliseconds time in milliseconds between the termination signal
		 * and the forced end of the process
		 * @param startAfter address of a process on the same VM that has to start first
		 * @param limits limits of what sessions keep
		 */
		public SessionSettings(String host, int port, String promotionAddress, long graceMilliseconds,
				Optional<String> startAfter, SessionLimits limits) {
			this(host, port, promotionAddress, graceMilliseconds, startAfter, limits,
					ClientLimits.defaults(Runtime.getRuntime().maxMemory(), ProcessDescriptors.maximum()), false);
		}

	}

	/**
	 * Address for the peer protocol.
	 *
	 * @param host IP address to listen on and to announce
	 * @param port TCP port
	 */
	public record PeerSettings(String host, int port) {

		/**
		 * Returns the address that other daemons connect to.
		 * @return the address in the form {@code host:port}
		 */
		public String address() {
			return this.host + ":" + this.port;
		}

	}

	/**
	 * Limits of the HTTP server.
	 *
	 * @param host IP address to listen on
	 * @param port TCP port
	 * @param maximumBodyBytes maximum size of a request body in bytes
	 * @param maximumHeaderBytes maximum total size of the request headers in bytes
	 * @param receiveTimeoutMilliseconds maximum time in milliseconds to receive one
	 * request
	 * @param idleTimeoutMilliseconds maximum time in milliseconds that a connection may
	 * be idle
	 * @param maximumConnections maximum number of open connections
	 * @param maximumTotalBodyBytes maximum size in bytes of all request bodies together
	 */
	public record HttpSettings(String host, int port, int maximumBodyBytes, int maximumHeaderBytes,
			long receiveTimeoutMilliseconds, long idleTimeoutMilliseconds, int maximumConnections,
			int maximumTotalBodyBytes) {
	}
}
