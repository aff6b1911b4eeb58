package org.magnolialead.engine.owner;

/**
 * What the driver must do for a failover. Orders are repeated until an event shows their
 * result.
 */
public sealed interface FailoverAction {

	/**
	 * End a term: acknowledge nothing of it or of earlier terms from now on, and send a
	 * status request without a wait to every member.
	 *
	 * @param term the term
	 */
	record Seal(long term) implements FailoverAction {
	}

	/**
	 * Submit ReservePromotion to control.
	 *
	 * @param expectedReservedTerm highest reserved term known
	 * @param newTerm term to reserve
	 * @param candidate member to promote
	 */
	record Reserve(long expectedReservedTerm, long newTerm, String candidate) implements FailoverAction {
	}

	/**
	 * Order a member to become primary.
	 *
	 * @param member name of the member
	 * @param address its address
	 * @param term term of the promotion
	 */
	record Promote(String member, String address, long term) implements FailoverAction {
	}

	/**
	 * Order a member to follow the primary.
	 *
	 * @param member name of the member
	 * @param address its address
	 * @param term term of the primary
	 * @param primaryAddress address of the primary
	 */
	record Follow(String member, String address, long term, String primaryAddress) implements FailoverAction {
	}

	/**
	 * Submit ConfirmPrimary to control.
	 *
	 * @param term term of the primary
	 * @param primary name of the primary
	 */
	record Confirm(long term, String primary) implements FailoverAction {
	}

	/**
	 * Nothing to do. Decisions return an empty list instead; drivers may use it as a
	 * neutral value.
	 */
	record None() implements FailoverAction {
	}

}
