package org.magnolialead.api.message;

import java.util.Objects;

/**
 * Tokens that the control leader grants to an entry daemon for one client account.
 *
 * @param account name of the account
 * @param granted number of tokens
 * @param retryAfterMicroseconds time in microseconds for which the daemon rejects
 * operations without a token; 0 unless fewer tokens are granted than operations wait
 * @param fleetPerSecond tokens per second that all daemons together were granted lately,
 * by which a daemon knows its share; 0 if it is not known
 */
public record QuotaGrant(String account, int granted, long retryAfterMicroseconds, double fleetPerSecond) {

	public QuotaGrant {
		Objects.requireNonNull(account, "account must not be null");
		boolean valid = granted >= 0 && retryAfterMicroseconds >= 0 && fleetPerSecond >= 0;
		if (!valid) {
			throw new IllegalArgumentException(
					"granted, retryAfterMicroseconds and fleetPerSecond must not be negative, found %d, %d and %s"
						.formatted(granted, retryAfterMicroseconds, fleetPerSecond));
		}
	}

	/**
	 * Creates a grant without the rate of the fleet.
	 * @param account name of the account
	 * @param granted number of tokens
	 * @param retryAfterMicroseconds time in microseconds for which the daemon rejects
	 * operations without a token
	 */
	public QuotaGrant(String account, int granted, long retryAfterMicroseconds) {
		this(account, granted, retryAfterMicroseconds, 0);
	}

}
