package org.magnolialead.api;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Client accounts of a configuration.
 *
 * @param accounts accounts by name
 */
public record AccountTable(Map<String, ClientAccount> accounts) {

	public AccountTable {
		accounts = Map.copyOf(accounts);
		Map<KeyDigest, String> owners = new HashMap<>();
		for (ClientAccount account : accounts.values()) {
			for (KeyDigest key : account.keys()) {
				String other = owners.putIfAbsent(key, account.name());
				if (other != null && !other.equals(account.name())) {
					throw new IllegalArgumentException(
							"the client accounts \"%s\" and \"%s\" share a key".formatted(other, account.name()));
				}
			}
		}
	}

	/**
	 * Returns the accounts by the digests of their keys.
	 * @return a new map
	 */
	public Map<KeyDigest, ClientAccount> byKey() {
		Map<KeyDigest, ClientAccount> byKey = new HashMap<>();
		this.accounts.values().forEach((account) -> account.keys().forEach((key) -> byKey.put(key, account)));
		return byKey;
	}

	/**
	 * Returns an account.
	 * @param name name of the account
	 * @return the account, or empty if the configuration has none of this name
	 */
	public Optional<ClientAccount> account(String name) {
		return Optional.ofNullable(this.accounts.get(name));
	}

}
