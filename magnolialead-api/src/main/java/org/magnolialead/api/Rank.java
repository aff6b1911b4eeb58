package org.magnolialead.api;

/**
 * Urgency of a request. Ranks are declared from the most to the least urgent.
 */
public enum Rank {

	/**
	 * Most urgent requests, such as safety confirmations and saw releases.
	 */
	URGENT,

	/**
	 * Regular requests, such as scheduling changes and reorders.
	 */
	STANDARD,

	/**
	 * Least urgent requests, such as browsing and stock views.
	 */
	BROWSING;

	/**
	 * Returns whether requests of this rank are more urgent than those of another.
	 * @param other the rank to compare with
	 * @return {@code true} if this rank is strictly more urgent
	 */
	public boolean isMoreUrgentThan(Rank other) {
		return ordinal() < other.ordinal();
	}

}
