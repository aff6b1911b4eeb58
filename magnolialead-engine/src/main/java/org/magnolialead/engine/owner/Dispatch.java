package org.magnolialead.engine.owner;

import java.util.Objects;

import org.magnolialead.api.Rank;

/**
 * Started statement that occupies a slot of a database member; identified by reference.
 *
 * @param <W> type of the caller's work
 * @param work the caller's work
 * @param rank its urgency
 * @param member name of the member that serves it
 * @param startedAt time at which the slot was taken, in nanoseconds of the monotonic
 * clock
 */
public record Dispatch<W>(W work, Rank rank, String member, long startedAt) {

	public Dispatch {
		Objects.requireNonNull(work, "work must not be null");
		Objects.requireNonNull(rank, "rank must not be null");
		Objects.requireNonNull(member, "member must not be null");
	}
}
