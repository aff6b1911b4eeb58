package org.magnolialead.api;

/**
 * Urgency of a request. Ranks are declared from the most to the least urgent.
 */
public enum Rank {

	/**
	 * Safety confirmations and saw releases.
	 */
	URGENT,

	/**
	 * Scheduling changes and reorders.
	 */
	STANDARD,

	/**
	 * Browsing and stock views.
	 */
	BROWSING;

	/**
	 * Tells whether work of this rank is served before work of another.
	 * @param other the rank to compare with
	 * @return {@code true} if this rank is strictly more urgent
	 */
	public boolean isMoreUrgentThan(Rank other) {
		return ordinal() < other.ordinal();
	}

}
