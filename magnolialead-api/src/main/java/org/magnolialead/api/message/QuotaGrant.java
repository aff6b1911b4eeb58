package org.magnolialead.api.message;

import java.util.Objects;

/**
 * Tokens that the control leader grants to an entry daemon for one client account.
 *
 * @param account name of the account
 * @param granted number of tokens
 * @param retryAfterMicroseconds time in microseconds for which the daemon rejects
 * operations without a token; 0 unless fewer tokens are granted than operations wait
 */
public record QuotaGrant(String account, int granted, long retryAfterMicroseconds) {

	public QuotaGrant {
		Objects.requireNonNull(account, "account must not be null");
		if (granted < 0 || retryAfterMicroseconds < 0) {
			throw new IllegalArgumentException(
					"granted and retryAfterMicroseconds must not be negative, found %d and %d".formatted(granted,
							retryAfterMicroseconds));
		}
	}

}
