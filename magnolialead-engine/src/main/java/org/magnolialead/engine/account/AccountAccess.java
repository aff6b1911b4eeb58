package org.magnolialead.engine.account;

import java.util.Map;
import java.util.Optional;

import org.magnolialead.api.AccountTable;
import org.magnolialead.api.ClientAccount;
import org.magnolialead.api.KeyDigest;
import org.magnolialead.api.Route;

/**
 * Decides on behalf of which client account a session may use a database.
 */
public final class AccountAccess {

	/** Name that stands for a session without a client account. */
	public static final String NO_ACCOUNT = "";

	private final boolean keysRequired;

	private final Map<KeyDigest, ClientAccount> accountsByKey;

	/**
	 * Creates the decision for a configuration.
	 * @param accounts the client accounts, or {@code null} if clients need no key
	 */
	public AccountAccess(AccountTable accounts) {
		this.keysRequired = accounts != null;
		this.accountsByKey = this.keysRequired ? accounts.byKey() : Map.of();
	}

	/**
	 * Returns the account of a session.
	 * @param key digest of the key that the client sent
	 * @param route route of the database
	 * @return name of the account, {@link #NO_ACCOUNT} for a client without a known key
	 * that needs none, or empty if the client may not use the database
	 */
	public Optional<String> account(KeyDigest key, Route route) {
		ClientAccount account = this.accountsByKey.get(key);
		if (account != null) {
			return Optional.of(account.name());
		}
		boolean permitted = !this.keysRequired || route.publicAccess();
		return permitted ? Optional.of(NO_ACCOUNT) : Optional.empty();
	}

}
