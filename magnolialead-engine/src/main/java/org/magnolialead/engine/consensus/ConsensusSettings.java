package org.magnolialead.engine.consensus;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import org.magnolialead.api.message.ControlIdentity;

/**
 * Settings of a {@link ConsensusNode}. All times are nanoseconds.
 *
 * @param self identity of this member
 * @param peers peer addresses of all configured control daemons by name; empty if control
 * daemons join by themselves
 * @param heartbeatInterval time between heartbeats of a leader
 * @param minimumElectionTimeout time after contact with a leader during which a member
 * refuses votes
 * @param maximumElectionTimeout upper bound of the random election timeout
 * @param maximumEntries maximum number of entries in one message
 * @param maximumBytes maximum size of the commands in one message in bytes, exceeded only
 * by a single entry
 * @param maximumInFlight maximum number of unanswered messages with entries per member
 * @param snapshotPartBytes size of one part of a snapshot in bytes
 * @param seeds addresses to which a member sends join requests while it knows no leader;
 * used only if the settings list no peers
 * @param logBudget limits of the log in bytes
 * @param faultTolerance number of voters that may be lost at once
 */
public record ConsensusSettings(ControlIdentity self, Map<String, String> peers, long heartbeatInterval,
		long minimumElectionTimeout, long maximumElectionTimeout, int maximumEntries, int maximumBytes,
		int maximumInFlight, int snapshotPartBytes, List<String> seeds, LogBudget logBudget,
		FaultTolerance faultTolerance) {

	/** Number of messages of the maximum size that are in flight per member. */
	private static final int MAXIMUM_LARGE_MESSAGES_IN_FLIGHT = 4;

	/** Size in bytes of the disk and of the heap unless settings state another. */
	private static final long DEFAULT_RESOURCE_BYTES = 128L * 1024 * 1024;

	private static final int DEFAULT_MAXIMUM_ENTRIES = 1_000;

	/** Half of the maximum frame size, which leaves room for a single larger command. */
	private static final int DEFAULT_MAXIMUM_BYTES = 512 * 1024;

	private static final int DEFAULT_MAXIMUM_IN_FLIGHT = 32;

	private static final int DEFAULT_SNAPSHOT_PART_BYTES = 256 * 1024;

	public ConsensusSettings {
		Objects.requireNonNull(self, "self must not be null");
		Objects.requireNonNull(logBudget, "logBudget must not be null");
		Objects.requireNonNull(faultTolerance, "faultTolerance must not be null");
		// Sorted so that a simulation is reproducible from its seed in every process.
		peers = Collections.unmodifiableMap(new TreeMap<>(peers));
		seeds = List.copyOf(seeds);
		requirePositive(heartbeatInterval, "heartbeatInterval");
		requirePositive(maximumEntries, "maximumEntries");
		requirePositive(maximumBytes, "maximumBytes");
		requirePositive(maximumInFlight, "maximumInFlight");
		requirePositive(snapshotPartBytes, "snapshotPartBytes");
		if (minimumElectionTimeout <= 2 * heartbeatInterval) {
			throw new IllegalArgumentException("minimumElectionTimeout must exceed two heartbeat intervals");
		}
		if (maximumElectionTimeout <= minimumElectionTimeout) {
			throw new IllegalArgumentException("maximumElectionTimeout must exceed minimumElectionTimeout");
		}
	}

	/**
	 * Creates settings of a member whose peers are listed.
	 * @param self identity of this member
	 * @param peers peer addresses of all configured control daemons by name
	 * @param heartbeatInterval time between heartbeats in nanoseconds
	 * @param minimumElectionTimeout minimum election timeout in nanoseconds
	 * @param maximumElectionTimeout maximum election timeout in nanoseconds
	 * @param maximumEntries maximum number of entries in one message
	 * @param maximumBytes maximum size of the commands in one message in bytes, exceeded
	 * only by a single entry
	 * @param maximumInFlight maximum number of unanswered messages with entries per
	 * member
	 * @param snapshotPartBytes size of one part of a snapshot in bytes
	 */
	public ConsensusSettings(ControlIdentity self, Map<String, String> peers, long heartbeatInterval,
			long minimumElectionTimeout, long maximumElectionTimeout, int maximumEntries, int maximumBytes,
			int maximumInFlight, int snapshotPartBytes) {
		this(self, peers, heartbeatInterval, minimumElectionTimeout, maximumElectionTimeout, maximumEntries,
				maximumBytes, maximumInFlight, snapshotPartBytes, List.of(),
				LogBudget.of(DEFAULT_RESOURCE_BYTES, DEFAULT_RESOURCE_BYTES), FaultTolerance.ONE_LOSS);
	}

	/**
	 * Returns settings with default message limits.
	 * @param self identity of this member
	 * @param peers peer addresses of all configured control daemons by name
	 * @param heartbeatInterval time between heartbeats in nanoseconds
	 * @param minimumElectionTimeout minimum election timeout in nanoseconds
	 * @param maximumElectionTimeout maximum election timeout in nanoseconds
	 * @param seeds addresses to which a member sends join requests
	 * @param logBudget limits of the log in bytes
	 * @param faultTolerance number of voters that may be lost at once
	 * @return the settings
	 */
	public static ConsensusSettings of(ControlIdentity self, Map<String, String> peers, long heartbeatInterval,
			long minimumElectionTimeout, long maximumElectionTimeout, List<String> seeds, LogBudget logBudget,
			FaultTolerance faultTolerance) {
		return new ConsensusSettings(self, peers, heartbeatInterval, minimumElectionTimeout, maximumElectionTimeout,
				DEFAULT_MAXIMUM_ENTRIES, DEFAULT_MAXIMUM_BYTES, DEFAULT_MAXIMUM_IN_FLIGHT, DEFAULT_SNAPSHOT_PART_BYTES,
				seeds, logBudget, faultTolerance);
	}

	/**
	 * Returns settings with default message and log limits.
	 * @param self identity of this member
	 * @param peers peer addresses of all configured control daemons by name
	 * @param heartbeatInterval time between heartbeats in nanoseconds
	 * @param minimumElectionTimeout minimum election timeout in nanoseconds
	 * @param maximumElectionTimeout maximum election timeout in nanoseconds
	 * @param seeds addresses to which a member sends join requests
	 * @return the settings
	 */
	public static ConsensusSettings of(ControlIdentity self, Map<String, String> peers, long heartbeatInterval,
			long minimumElectionTimeout, long maximumElectionTimeout, List<String> seeds) {
		return of(self, peers, heartbeatInterval, minimumElectionTimeout, maximumElectionTimeout, seeds,
				LogBudget.of(DEFAULT_RESOURCE_BYTES, DEFAULT_RESOURCE_BYTES), FaultTolerance.ONE_LOSS);
	}

	/**
	 * Returns how many bytes of entries may be in flight per member. One message is
	 * always permitted.
	 * @return the size in bytes
	 */
	long maximumInFlightBytes() {
		return (long) MAXIMUM_LARGE_MESSAGES_IN_FLIGHT * this.maximumBytes;
	}

	/**
	 * Returns for how long a leader may act after it sent messages that a majority
	 * answered. It is 90% of the minimum election timeout, because the clocks of members
	 * may run at different speeds.
	 * @return the time in nanoseconds
	 */
	long authorityDuration() {
		return this.minimumElectionTimeout / 10 * 9;
	}

	/**
	 * Tells whether any control daemon may join, because the settings list no peers.
	 * @return {@code true} if membership is open
	 */
	public boolean hasOpenMembership() {
		return this.peers.isEmpty();
	}

	boolean mayJoin(String name) {
		return hasOpenMembership() || this.peers.containsKey(name);
	}

	String addressOf(ControlIdentity member) {
		return this.peers.getOrDefault(member.name(), member.address());
	}

	private static void requirePositive(long value, String name) {
		if (value <= 0) {
			throw new IllegalArgumentException(name + " must be positive, found " + value);
		}
	}

}
