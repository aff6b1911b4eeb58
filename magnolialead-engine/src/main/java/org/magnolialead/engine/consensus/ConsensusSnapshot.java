package org.magnolialead.engine.consensus;

import java.util.List;
import java.util.Objects;

import org.magnolialead.api.message.ControlIdentity;

/**
 * Snapshot: encoded state that replaces all log entries up to an index.
 *
 * @param lastIndex index of the last entry in the snapshot
 * @param lastTerm term of that entry
 * @param voters voting members as of that entry
 * @param data encoded state
 */
public record ConsensusSnapshot(long lastIndex, long lastTerm, List<ControlIdentity> voters, byte[] data) {

	public ConsensusSnapshot {
		Objects.requireNonNull(data, "data must not be null");
		voters = List.copyOf(voters);
		if (lastIndex < 1) {
			throw new IllegalArgumentException("lastIndex must be positive, found " + lastIndex);
		}
	}

}
