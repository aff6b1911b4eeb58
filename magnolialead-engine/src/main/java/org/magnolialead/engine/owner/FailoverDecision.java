package org.magnolialead.engine.owner;

import java.util.List;
import java.util.Optional;

import org.magnolialead.api.GroupView;

/**
 * State machine that determines the primary of one group on behalf of its owner.
 * Immutable: each call of {@link #next} returns the new state and the actions to perform.
 * <p>
 * Every term has at most one primary, because the control plane reserves each term once,
 * an owner promotes only the member of its own accepted reservation, and a reservation of
 * an earlier owner is never used. No acknowledged write is lost, because acknowledgement
 * stops when the term is sealed and the candidate is the most advanced of a majority of
 * members that were queried afterwards, at least one of which holds every acknowledged
 * write.
 */
public final class FailoverDecision {

	private final FailoverState state;

	private FailoverDecision(FailoverState state) {
		this.state = state;
	}

	/**
	 * Creates the state of a new owner.
	 * @param view view of the group that includes this ownership
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return the initial state
	 */
	public static FailoverDecision takeOver(GroupView view, long now) {
		return takeOver(view, QuorumRule.MAJORITY, now);
	}

	static FailoverDecision takeOver(GroupView view, QuorumRule quorum, long now) {
		return new FailoverDecision(FailoverState.takeOver(view, quorum, now));
	}

	/**
	 * Applies events and the passing of time. Must be called at least every 100 ms, also
	 * without events.
	 * @param events events since the last call, in order
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return the new state and the actions to perform
	 */
	public Transition next(List<FailoverEvent> events, long now) {
		FailoverState changed = this.state.copy();
		List<FailoverAction> actions = changed.advance(events, now);
		return new Transition(new FailoverDecision(changed), actions);
	}

	/**
	 * Returns the primary whose writes may be acknowledged.
	 * @return the primary, or empty while no confirmed primary is active
	 */
	public Optional<Primary> primary() {
		return Optional.ofNullable(this.state.activePrimary());
	}

	/**
	 * Tells whether writes of a term may be acknowledged.
	 * @param term the term
	 * @return {@code true} if it is the term of the active primary
	 */
	public boolean mayAcknowledge(long term) {
		return primary().filter((primary) -> primary.term() == term).isPresent();
	}

	/**
	 * Returns the phase.
	 * @return the phase
	 */
	public FailoverPhase phase() {
		return this.state.phase();
	}

	/**
	 * New state and actions.
	 *
	 * @param decision the new state
	 * @param actions actions to perform, in order
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
