package org.magnolialead.engine.owner;

/**
 * Times of a failover in nanoseconds of the monotonic clock of one process. No value
 * depends on the clocks of two machines; the margin for clock drift belongs to the lease
 * that permits the owner to act at all.
 */
final class FailoverTiming {

	/** Silence of the primary after which a failover starts. */
	static final long SUSPICION_TIMEOUT_NANOSECONDS = 1_000_000_000L;

	/** Age of an answer up to which a member counts as reachable. */
	static final long REACHABILITY_TIMEOUT_NANOSECONDS = 1_000_000_000L;

	/**
	 * Distance of two calls from which this process itself must have been stalled. The
	 * silence of the members then says nothing about them.
	 */
	static final long STALL_THRESHOLD_NANOSECONDS = 500_000_000L;

	/** Wait for an answer of control to a reservation. */
	static final long RESERVATION_TIMEOUT_NANOSECONDS = 1_000_000_000L;

	/** Pause after a refused reservation, in which the newer view usually arrives. */
	static final long RESERVATION_RETRY_DELAY_NANOSECONDS = 200_000_000L;

	/** Time between two orders to the same member. */
	static final long COMMAND_RETRY_INTERVAL_NANOSECONDS = 300_000_000L;

	/** Time after which an unanswered promotion is given up. */
	static final long PROMOTION_TIMEOUT_NANOSECONDS = 1_000_000_000L;

	/** Time between two submissions of a confirmation. */
	static final long CONFIRMATION_RETRY_INTERVAL_NANOSECONDS = 500_000_000L;

	/** Time after which a promotion that control does not confirm is given up. */
	static final long CONFIRMATION_TIMEOUT_NANOSECONDS = 5_000_000_000L;

	/** Wait of a planned change for a replica to reach the primary's position. */
	static final long CATCH_UP_TIMEOUT_NANOSECONDS = 2_000_000_000L;

	/**
	 * Pause between two planned changes, so that an unsuccessful one is not repeated at
	 * once.
	 */
	static final long PLANNED_FAILOVER_INTERVAL_NANOSECONDS = 10_000_000_000L;

	/** Records that a replica may lack when a planned change starts. */
	static final long PLANNED_FAILOVER_MAXIMUM_LAG_RECORDS = 1_000;

	/** Time without a new member after which a first start may choose a primary. */
	static final long FIRST_START_SETTLE_NANOSECONDS = 1_000_000_000L;

	/** Time after which a first start no longer waits for every announced member. */
	static final long FIRST_START_TIMEOUT_NANOSECONDS = 10_000_000_000L;

	private FailoverTiming() {
	}

}
