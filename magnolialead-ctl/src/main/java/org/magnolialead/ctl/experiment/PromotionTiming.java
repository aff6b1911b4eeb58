package org.magnolialead.ctl.experiment;

/**
 * When a replica may be promoted after the term of a failed primary was sealed.
 */
@FunctionalInterface
interface PromotionTiming {

	/** At once: only the owner acknowledges writes, and it has sealed the term. */
	PromotionTiming IMMEDIATE = (sealedAt) -> sealedAt;

	/**
	 * Returns the earliest time of a reservation.
	 * @param sealedAt time of the seal in nanoseconds
	 * @return the time in nanoseconds
	 */
	long earliestReservation(long sealedAt);

}
