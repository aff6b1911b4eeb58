package org.magnolialead.daemon.control;

import java.util.Objects;

import org.magnolialead.engine.control.LeaseTiming;
import org.magnolialead.engine.quota.RateLimitTolerance;

/**
 * Settings of the control role.
 *
 * @param name name of this control daemon
 * @param leaseTiming timing of leases
 * @param requestRetentionMilliseconds time in milliseconds for which a non-repeatable
 * request is recorded; a request that is sent again later counts as new
 * @param tickMilliseconds interval in milliseconds between checks for due commands
 * @param rateLimitTolerance operations that are permitted beyond the rate limits of
 * client accounts
 */
public record ControlSettings(String name, LeaseTiming leaseTiming, long requestRetentionMilliseconds,
		long tickMilliseconds, RateLimitTolerance rateLimitTolerance) {

	private static final long ONE_DAY_MILLISECONDS = 86_400_000;

	private static final long DEFAULT_TICK_MILLISECONDS = 100;

	public ControlSettings {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(leaseTiming, "leaseTiming must not be null");
		Objects.requireNonNull(rateLimitTolerance, "rateLimitTolerance must not be null");
		if (requestRetentionMilliseconds < 1 || tickMilliseconds < 1) {
			throw new IllegalArgumentException(
					"requestRetentionMilliseconds and tickMilliseconds must be positive, found %d and %d"
						.formatted(requestRetentionMilliseconds, tickMilliseconds));
		}
	}

	/**
	 * Returns the default settings.
	 * @param name name of this control daemon
	 * @return the settings
	 */
	public static ControlSettings defaults(String name) {
		return new ControlSettings(name, LeaseTiming.DEFAULT, ONE_DAY_MILLISECONDS, DEFAULT_TICK_MILLISECONDS,
				RateLimitTolerance.NONE);
	}

	/**
	 * Returns these settings with another tolerance of rate limits.
	 * @param tolerance operations that are permitted beyond the limits
	 * @return the settings
	 */
	public ControlSettings withRateLimitTolerance(RateLimitTolerance tolerance) {
		return new ControlSettings(this.name, this.leaseTiming, this.requestRetentionMilliseconds,
				this.tickMilliseconds, tolerance);
	}

}
