package org.magnolialead.engine.owner;

import java.util.Objects;

import org.magnolialead.api.Rank;

/**
 * Statement that waits for a slot of a database member.
 *
 * @param <W> type of the caller's work
 * @param work the caller's work, identified by reference
 * @param rank its urgency
 * @param arrival time at which it arrived, in nanoseconds of the monotonic clock
 * @param deadline time at which it must be finished, in nanoseconds of the monotonic
 * clock
 * @param memberSelector selects the members that may serve it; items with equal
 * requirements should share one instance
 */
public record WorkItem<W>(W work, Rank rank, long arrival, long deadline, MemberSelector memberSelector) {

	public WorkItem {
		Objects.requireNonNull(work, "work must not be null");
		Objects.requireNonNull(rank, "rank must not be null");
		Objects.requireNonNull(memberSelector, "memberSelector must not be null");
	}
}
