package org.magnolialead.engine.owner;

/**
 * Action that the caller must perform for a failover. Commands to members and to the
 * control plane are repeated until an event reports their result.
 */
public sealed interface FailoverAction {

	/**
	 * Seal a term: acknowledge no write of this or an earlier term from now on, and
	 * immediately send a status request to every member.
	 *
	 * @param term the term
	 */
	record Seal(long term) implements FailoverAction {
	}

	/**
	 * Submit ReservePromotion to the control plane.
	 *
	 * @param expectedReservedTerm highest known reserved term
	 * @param newTerm term to reserve
	 * @param candidate member to promote
	 */
	record Reserve(long expectedReservedTerm, long newTerm, String candidate) implements FailoverAction {
	}

	/**
	 * Command a member to become primary.
	 *
	 * @param member name of the member
	 * @param address its address
	 * @param term term of the promotion
	 */
	record Promote(String member, String address, long term) implements FailoverAction {
	}

	/**
	 * Command a member to replicate from the primary.
	 *
	 * @param member name of the member
	 * @param address its address
	 * @param term term of the primary
	 * @param primaryAddress address of the primary
	 */
	record Follow(String member, String address, long term, String primaryAddress) implements FailoverAction {
	}

	/**
	 * Submit ConfirmPrimary to the control plane.
	 *
	 * @param term term of the primary
	 * @param primary name of the primary
	 */
	record Confirm(long term, String primary) implements FailoverAction {
	}

	/**
	 * No action. Decisions return an empty list instead; callers may use this as a
	 * neutral value.
	 */
	record None() implements FailoverAction {
	}

}
