package org.magnolialead.engine.consensus;

import java.util.List;

import org.magnolialead.api.message.ControlIdentity;

/**
 * Log position of the state that a snapshot contains.
 *
 * @param lastIndex index of the last applied entry
 * @param lastTerm term of that entry
 * @param voters voting members as of that entry
 */
public record SnapshotPosition(long lastIndex, long lastTerm, List<ControlIdentity> voters) {

	public SnapshotPosition {
		voters = List.copyOf(voters);
	}

	/**
	 * Returns the snapshot of the state at this position.
	 * @param data encoded state
	 * @return the snapshot
	 */
	public ConsensusSnapshot with(byte[] data) {
		return new ConsensusSnapshot(this.lastIndex, this.lastTerm, this.voters, data);
	}

}
