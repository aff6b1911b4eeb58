package org.magnolialead.engine.consensus;

import java.util.List;
import java.util.Objects;

import org.magnolialead.api.message.ControlIdentity;
import org.magnolialead.api.message.LogEntry;

/**
 * Synced state from which a member starts.
 *
 * @param cluster identifier of the cluster, or an empty string for a member that belongs
 * to none
 * @param vote term and vote
 * @param snapshot the snapshot, or {@code null} if there is none
 * @param baseIndex index of the entry before the first one in the log
 * @param baseTerm term of the entry before the first one in the log
 * @param entries consecutive entries of the log
 */
public record StoredState(String cluster, Vote vote, ConsensusSnapshot snapshot, long baseIndex, long baseTerm,
		List<LogEntry> entries) {

	public StoredState {
		Objects.requireNonNull(cluster, "cluster must not be null");
		Objects.requireNonNull(vote, "vote must not be null");
		entries = List.copyOf(entries);
	}

	/**
	 * Returns the state of a member that belongs to no cluster.
	 * @return the state
	 */
	public static StoredState empty() {
		return new StoredState("", Vote.NONE, null, 0, 0, List.of());
	}

	/**
	 * Returns the state of the only voter of a new cluster.
	 * @param cluster identifier of the new cluster
	 * @param voter the voter
	 * @param data encoded initial state
	 * @return the state
	 */
	public static StoredState bootstrap(String cluster, ControlIdentity voter, byte[] data) {
		return bootstrap(cluster, List.of(voter), data);
	}

	/**
	 * Returns the state with which each of several voters starts the same new cluster.
	 * @param cluster identifier of the new cluster, the same at all voters
	 * @param voters the voters, the same list at all of them
	 * @param data encoded initial state, the same at all voters
	 * @return the state
	 */
	static StoredState bootstrap(String cluster, List<ControlIdentity> voters, byte[] data) {
		ConsensusSnapshot snapshot = new ConsensusSnapshot(1, 1, voters, data);
		return new StoredState(cluster, new Vote(1, null), snapshot, 1, 1, List.of());
	}

}
