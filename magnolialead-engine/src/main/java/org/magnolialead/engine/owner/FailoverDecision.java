package org.magnolialead.engine.owner;

import java.util.List;
import java.util.Optional;

import org.magnolialead.api.GroupView;

/**
 * State of the failover of one group.
 */
public final class FailoverDecision {

	private final GroupView view;

	private FailoverDecision(GroupView view) {
		this.view = view;
	}

	/**
	 * Starts with an ownership.
	 * @param view view of the group that shows this ownership
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return the first state
	 */
	public static FailoverDecision takeOver(GroupView view, long now) {
		return new FailoverDecision(view);
	}

	/**
	 * Takes events into account. Must be called at least every 100 ms, if need be without
	 * events.
	 * @param events what has happened since the last call, in order
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return the new state and what to do
	 */
	public Transition next(List<FailoverEvent> events, long now) {
		return new Transition(this, List.of());
	}

	/**
	 * Returns the primary whose writes may be acknowledged.
	 * @return the primary, or empty while no confirmed primary is in force
	 */
	public Optional<Primary> primary() {
		return this.view.primary().isEmpty() ? Optional.empty()
				: Optional.of(new Primary(this.view.primary(), this.view.term()));
	}

	/**
	 * Returns the phase.
	 * @return the phase
	 */
	public FailoverPhase phase() {
		return FailoverPhase.STEADY;
	}

	/**
	 * New state and actions.
	 *
	 * @param decision the new state
	 * @param actions what to do, in order
	 */
	public record Transition(FailoverDecision decision, List<FailoverAction> actions) {

		public Transition {
			actions = List.copyOf(actions);
		}
	}

	/**
	 * Primary of a term.
	 *
	 * @param member name of the member
	 * @param term its term
	 */
	public record Primary(String member, long term) {
	}

}
