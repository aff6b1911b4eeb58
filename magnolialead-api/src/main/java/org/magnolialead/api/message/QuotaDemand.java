package org.magnolialead.api.message;

import java.util.Objects;

/**
 * Demand of an entry daemon for tokens of one client account.
 *
 * @param account name of the account
 * @param wanted number of operations that wait for a token
 * @param expected number of further operations that are expected soon
 * @param unused number of tokens that were granted recently and have expired unused
 */
public record QuotaDemand(String account, int wanted, int expected, int unused) {

	public QuotaDemand {
		Objects.requireNonNull(account, "account must not be null");
		if (wanted < 0 || expected < 0 || unused < 0) {
			throw new IllegalArgumentException(
					"numbers of tokens must not be negative, found %d, %d and %d".formatted(wanted, expected, unused));
		}
	}

}
