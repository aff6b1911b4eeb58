package org.magnolialead.api;

import java.util.List;
import java.util.Objects;

/**
 * Client account that operators have configured.
 *
 * @param name name of the account, which members are told; contains no white space
 * @param keys digests of the keys by which its clients are recognised
 * @param limit limit of its operations, or {@code null} if there is none
 */
public record ClientAccount(String name, List<KeyDigest> keys, RateLimit limit) {

	public ClientAccount {
		Objects.requireNonNull(name, "name must not be null");
		keys = List.copyOf(keys);
		if (name.isEmpty() || name.chars().anyMatch((character) -> character <= ' ')) {
			throw new IllegalArgumentException("name of a client account must not be empty or contain white space");
		}
	}

}
