package org.magnolialead.engine.session;

import java.util.NavigableMap;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Promotion orders of one group that the platform may still execute. An order without an
 * answer may be executed at any later time. It is over once the platform has answered it,
 * or has accepted an order with a higher token. Not thread-safe.
 */
public final class PromotionOrders {

	private final NavigableMap<FencingToken, Order> orders = new TreeMap<>();

	/** Member of the latest refused order, which is probably not running. */
	private String refusedMember = "";

	/**
	 * Creates the orders of a new owner.
	 * @param inheritedMember member that an earlier owner may have ordered without an
	 * outcome, or an empty string for none
	 */
	public PromotionOrders(String inheritedMember) {
		if (!inheritedMember.isEmpty()) {
			this.orders.put(new FencingToken(0), new Order(inheritedMember, State.UNANSWERED));
		}
	}

	/**
	 * Records an order before it is sent.
	 * @param token token of the order, higher than that of each earlier one
	 * @param member member to promote
	 */
	public void sent(FencingToken token, String member) {
		if (!this.orders.isEmpty() && this.orders.lastKey().compareTo(token) >= 0) {
			throw new IllegalArgumentException(
					"token %s must be higher than %s".formatted(token, this.orders.lastKey()));
		}
		this.orders.put(token, new Order(member, State.SENT));
	}

	/**
	 * Records that the platform has accepted an order. It refuses the lower tokens of all
	 * earlier orders from then on, so they are over.
	 * @param token token of the order
	 */
	public void accepted(FencingToken token) {
		this.refusedMember = "";
		this.orders.headMap(token).clear();
		change(token, State.ACCEPTED);
	}

	/**
	 * Records that the platform has refused an order and will not execute it. Earlier
	 * orders are not affected, since the platform may have refused the order for another
	 * reason than its token.
	 * @param token token of the order
	 */
	public void refused(FencingToken token) {
		Order order = this.orders.remove(token);
		if (order != null) {
			this.refusedMember = order.member();
		}
	}

	/**
	 * Records that the call of an order has ended without a conclusive answer.
	 * @param token token of the order
	 */
	public void unanswered(FencingToken token) {
		change(token, State.UNANSWERED);
	}

	private void change(FencingToken token, State state) {
		this.orders.computeIfPresent(token, (key, order) -> new Order(order.member(), state));
	}

	/**
	 * Records that a member leads, so that an accepted order for it has taken effect.
	 * Orders without an answer remain.
	 * @param member name of the member
	 */
	public void promoted(String member) {
		this.orders.values().removeIf((order) -> order.state() == State.ACCEPTED && order.member().equals(member));
	}

	/**
	 * Tells whether an order was sent whose result is not known yet.
	 * @return {@code true} while the call to the platform is in progress
	 */
	public boolean isCallInProgress() {
		return this.orders.values().stream().anyMatch((order) -> order.state() == State.SENT);
	}

	/**
	 * Tells whether the platform may execute an order later that it has not accepted yet.
	 * @return {@code true} if an order has no answer
	 */
	public boolean isUnresolved() {
		return this.orders.values().stream().anyMatch((order) -> order.state() != State.ACCEPTED);
	}

	/**
	 * Tells whether a member was ordered last and its promotion may still take effect.
	 * Ordering it again is harmless: it does not matter which of the orders is executed.
	 * @param member name of the member
	 * @return {@code true} if the latest order names this member
	 */
	public boolean isOrdered(String member) {
		return !this.orders.isEmpty() && this.orders.lastEntry().getValue().member().equals(member);
	}

	/**
	 * Returns the member that has to be ordered again, because an earlier order for it
	 * may be executed at any time. This ends once the platform refuses an order for it:
	 * it is not running then.
	 * @return name of the member, or empty if any member may be ordered
	 */
	public Optional<String> memberToRepeat() {
		return isUnresolved() ? Optional.of(this.orders.lastEntry().getValue().member())
			.filter((member) -> !member.equals(this.refusedMember)) : Optional.empty();
	}

	/**
	 * Tells whether a primary may remain the primary.
	 * @param member name of the primary
	 * @return {@code false} if the promotion of another member may still take effect
	 */
	public boolean mayRemainPrimary(String member) {
		return this.orders.values().stream().allMatch((order) -> order.member().equals(member));
	}

	private enum State {

		/** The call to the platform is in progress. */
		SENT,
		/** The call has ended without an answer. */
		UNANSWERED,
		/** Accepted, and the member does not lead yet. */
		ACCEPTED

	}

	private record Order(String member, State state) {

		Order {
			Objects.requireNonNull(member, "member must not be null");
			Objects.requireNonNull(state, "state must not be null");
		}
	}

}
