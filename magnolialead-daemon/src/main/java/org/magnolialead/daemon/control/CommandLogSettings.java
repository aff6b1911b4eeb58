package org.magnolialead.daemon.control;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.magnolialead.engine.consensus.FaultTolerance;
import org.magnolialead.engine.consensus.LogBudget;

/**
 * Settings of a {@link DefaultCommandLog}.
 *
 * @param name name of this control daemon
 * @param peerAddress peer address of this control daemon
 * @param dataFolder path of its data folder
 * @param peers peer addresses of all configured control daemons by name
 * @param heartbeatInterval time between heartbeats of a leader
 * @param minimumElectionTimeout time without a leader during which votes are refused
 * @param maximumElectionTimeout upper bound of the random time until an election
 * @param snapshotThreshold number of applied entries after which a snapshot is taken
 * @param seeds peer addresses at which other control daemons are contacted when the
 * settings list no peers
 * @param logBudget limits of the log in bytes
 * @param faultTolerance number of voters that may be lost at once
 * @param observer whether the data folder is temporary, so that the daemon must not vote
 * @param firstStart whether this daemon is a seed that starts the cluster together with
 * the other seeds if its data folder belongs to none
 */
public record CommandLogSettings(String name, String peerAddress, Path dataFolder, Map<String, String> peers,
		Duration heartbeatInterval, Duration minimumElectionTimeout, Duration maximumElectionTimeout,
		int snapshotThreshold, List<String> seeds, LogBudget logBudget, FaultTolerance faultTolerance, boolean observer,
		boolean firstStart) {

	/** Default time between heartbeats of a leader. */
	public static final Duration DEFAULT_HEARTBEAT_INTERVAL = Duration.ofMillis(100);

	/** Default time without a leader during which votes are refused. */
	public static final Duration DEFAULT_MINIMUM_ELECTION_TIMEOUT = Duration.ofMillis(500);

	/** Default upper bound of the random time until an election. */
	public static final Duration DEFAULT_MAXIMUM_ELECTION_TIMEOUT = Duration.ofMillis(1_000);

	/** Default number of applied entries after which a snapshot is taken. */
	public static final int DEFAULT_SNAPSHOT_THRESHOLD = 10_000;

	/** Default size in bytes of the disk that holds the data folder. */
	public static final long DEFAULT_DISK_BYTES = 1_024L * 1024 * 1024;

	private static final int HEARTBEATS_PER_TIMEOUT = 5;

	public CommandLogSettings {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(peerAddress, "peerAddress must not be null");
		Objects.requireNonNull(dataFolder, "dataFolder must not be null");
		Objects.requireNonNull(heartbeatInterval, "heartbeatInterval must not be null");
		Objects.requireNonNull(minimumElectionTimeout, "minimumElectionTimeout must not be null");
		Objects.requireNonNull(logBudget, "logBudget must not be null");
		Objects.requireNonNull(faultTolerance, "faultTolerance must not be null");
		Objects.requireNonNull(maximumElectionTimeout, "maximumElectionTimeout must not be null");
		peers = Map.copyOf(peers);
		seeds = List.copyOf(seeds);
		if (firstStart && (observer || !seeds.contains(peerAddress))) {
			throw new IllegalArgumentException("only a seed with a durable folder starts a cluster, found %s, seeds %s"
				.formatted(peerAddress, seeds));
		}
		if (snapshotThreshold <= 0) {
			throw new IllegalArgumentException("snapshotThreshold must be positive: " + snapshotThreshold);
		}
	}

	/**
	 * Returns settings with a different election timeout, snapshot threshold, seeds and
	 * size of the disk.
	 * @param electionTimeout minimum time without a leader before an election; the
	 * maximum is twice that, and the heartbeat interval a fifth of it
	 * @param entries number of entries between snapshots
	 * @param seedAddresses peer addresses at which other control daemons are contacted
	 * @param diskBytes size in bytes of the disk that holds the data folder
	 * @return the settings
	 */
	public CommandLogSettings withOverrides(Duration electionTimeout, int entries, List<String> seedAddresses,
			long diskBytes) {
		return new CommandLogSettings(this.name, this.peerAddress, this.dataFolder, this.peers,
				electionTimeout.dividedBy(HEARTBEATS_PER_TIMEOUT), electionTimeout, electionTimeout.multipliedBy(2),
				entries, seedAddresses, logBudget(diskBytes), this.faultTolerance, this.observer, this.firstStart);
	}

	/**
	 * Returns settings for a cluster whose members join by themselves.
	 * @param tolerance number of voters that may be lost at once
	 * @param isObserver whether the data folder is temporary
	 * @param isFirstStart whether this daemon is a seed that starts the cluster together
	 * with the other seeds
	 * @return the settings
	 */
	public CommandLogSettings withMembership(FaultTolerance tolerance, boolean isObserver, boolean isFirstStart) {
		return new CommandLogSettings(this.name, this.peerAddress, this.dataFolder, this.peers, this.heartbeatInterval,
				this.minimumElectionTimeout, this.maximumElectionTimeout, this.snapshotThreshold, this.seeds,
				this.logBudget, tolerance, isObserver, isFirstStart);
	}

	/**
	 * Creates settings of a control daemon whose peers are listed.
	 * @param name name of the daemon
	 * @param peerAddress its address for the peer protocol
	 * @param dataFolder folder for durable state
	 * @param peers peer addresses of all control daemons by name
	 * @param heartbeatInterval time between heartbeats of the leader
	 * @param minimumElectionTimeout minimum time without a leader before an election
	 * @param maximumElectionTimeout maximum time without a leader before an election
	 * @param snapshotThreshold number of entries between snapshots
	 */
	public CommandLogSettings(String name, String peerAddress, Path dataFolder, Map<String, String> peers,
			Duration heartbeatInterval, Duration minimumElectionTimeout, Duration maximumElectionTimeout,
			int snapshotThreshold) {
		this(name, peerAddress, dataFolder, peers, heartbeatInterval, minimumElectionTimeout, maximumElectionTimeout,
				snapshotThreshold, List.of(), logBudget(DEFAULT_DISK_BYTES), FaultTolerance.ONE_LOSS, false, false);
	}

	private static LogBudget logBudget(long diskBytes) {
		return LogBudget.of(diskBytes, Runtime.getRuntime().maxMemory());
	}

	/**
	 * Returns settings with the default timings.
	 * @param name name of this control daemon
	 * @param peerAddress peer address of this control daemon
	 * @param dataFolder path of its data folder
	 * @param peers peer addresses of all configured control daemons by name
	 * @return the settings
	 */
	public static CommandLogSettings withDefaults(String name, String peerAddress, Path dataFolder,
			Map<String, String> peers) {
		return new CommandLogSettings(name, peerAddress, dataFolder, peers, DEFAULT_HEARTBEAT_INTERVAL,
				DEFAULT_MINIMUM_ELECTION_TIMEOUT, DEFAULT_MAXIMUM_ELECTION_TIMEOUT, DEFAULT_SNAPSHOT_THRESHOLD);
	}

}
