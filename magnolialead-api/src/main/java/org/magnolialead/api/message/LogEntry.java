package org.magnolialead.api.message;

import java.util.List;

/**
 * Entry of the control log.
 *
 * @param term term of the leader that appended it
 * @param index index in the log, from 1
 * @param kind kind of the entry
 * @param command encoded command, empty unless the kind is {@link Kind#COMMAND}
 * @param voters voting members from this entry on, empty unless the kind is
 * {@link Kind#VOTERS}
 */
public record LogEntry(long term, long index, Kind kind, byte[] command, List<ControlIdentity> voters) {

	public LogEntry {
		voters = (voters != null) ? List.copyOf(voters) : List.of();
	}

	/**
	 * Kind of a log entry.
	 */
	public enum Kind {

		/** Entry without content, appended by a new leader to commit earlier entries. */
		EMPTY,
		/** A command for the control state. */
		COMMAND,
		/** A change of the voting members. */
		VOTERS

	}
}
