package org.magnolialead.ctl.experiment;

/**
 * Determines when a replica may be promoted after the term of a failed primary was
 * sealed.
 */
@FunctionalInterface
interface PromotionTiming {

	/**
	 * Promotes immediately, which is safe because only the owner acknowledges writes and
	 * it has sealed the term.
	 */
	PromotionTiming IMMEDIATE = (sealedAt) -> sealedAt;

	/**
	 * Returns the earliest time at which a promotion may be reserved.
	 * @param sealedAt time at which the term was sealed, in nanoseconds
	 * @return the time in nanoseconds
	 */
	long earliestReservation(long sealedAt);

}
