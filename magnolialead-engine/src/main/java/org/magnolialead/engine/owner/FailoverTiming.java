package org.magnolialead.engine.owner;

/**
 * Timeouts and intervals of a failover in nanoseconds of the monotonic clock of one
 * process. No value depends on the clocks of two machines; the lease that permits the
 * owner to act includes the margin for clock drift.
 */
final class FailoverTiming {

	/** Time without a response of the primary after which a failover starts. */
	static final long SUSPICION_TIMEOUT_NANOSECONDS = 1_000_000_000L;

	/** Time after the last response up to which a member counts as reachable. */
	static final long REACHABILITY_TIMEOUT_NANOSECONDS = 1_000_000_000L;

	/**
	 * Interval between two calls from which this process is assumed to have been stalled.
	 * Missing responses then do not indicate a failure of the members.
	 */
	static final long STALL_THRESHOLD_NANOSECONDS = 500_000_000L;

	/** Time to wait for the response of the control plane to a reservation. */
	static final long RESERVATION_TIMEOUT_NANOSECONDS = 1_000_000_000L;

	/**
	 * Delay after a refused reservation, during which the newer view usually arrives.
	 */
	static final long RESERVATION_RETRY_DELAY_NANOSECONDS = 200_000_000L;

	/** Interval between repeated commands to the same member. */
	static final long COMMAND_RETRY_INTERVAL_NANOSECONDS = 300_000_000L;

	/** Time after which an unanswered promotion is abandoned. */
	static final long PROMOTION_TIMEOUT_NANOSECONDS = 1_000_000_000L;

	/** Interval between repeated submissions of a confirmation. */
	static final long CONFIRMATION_RETRY_INTERVAL_NANOSECONDS = 500_000_000L;

	/**
	 * Time after which a promotion that the control plane does not confirm is abandoned.
	 */
	static final long CONFIRMATION_TIMEOUT_NANOSECONDS = 5_000_000_000L;

	/**
	 * Time that a planned failover waits for a replica to reach the position of the
	 * primary.
	 */
	static final long CATCH_UP_TIMEOUT_NANOSECONDS = 2_000_000_000L;

	/**
	 * Interval between planned failovers, so that an unsuccessful one is not repeated
	 * immediately.
	 */
	static final long PLANNED_FAILOVER_INTERVAL_NANOSECONDS = 10_000_000_000L;

	/** Maximum lag of a replica, in log records, for a planned failover to start. */
	static final long PLANNED_FAILOVER_MAXIMUM_LAG_RECORDS = 1_000;

	/**
	 * Time without a change of members after which the first start may select a primary.
	 */
	static final long FIRST_START_SETTLE_NANOSECONDS = 1_000_000_000L;

	/** Time after which the first start no longer waits for all announced members. */
	static final long FIRST_START_TIMEOUT_NANOSECONDS = 10_000_000_000L;

	private FailoverTiming() {
	}

}
